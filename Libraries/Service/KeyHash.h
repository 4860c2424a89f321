#pragma once

#include <string>

namespace Cranberrymount {

/** @return the SHA-256 hash of @p key in 64 lower-case hex digits. */
std::string hashKey(const std::string &key);

} // namespace Cranberrymount
