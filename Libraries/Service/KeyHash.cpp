#include "Service/KeyHash.h"

#include <fmt/format.h>
#include <openssl/sha.h>

#include <array>

namespace Cranberrymount {

std::string hashKey(const std::string &key)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
    std::string hex;
    for (const unsigned char byte : digest)
        hex += fmt::format("{:02x}", byte);
    return hex;
}

} // namespace Cranberrymount
