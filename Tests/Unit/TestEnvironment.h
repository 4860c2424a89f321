#pragma once

#include <cstdint>
#include <cstdlib>

namespace Cranberrymount {

/** @return the number in the environment variable @p name, or @p fallback if it is not set. */
inline uint64_t numberFromEnvironment(const char *name, uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

} // namespace Cranberrymount
