#pragma once

#include "Protocol/Json.h"
#include "Protocol/ProtocolError.h"

#include <glog/logging.h>

#include <optional>
#include <string>

namespace Cranberrymount {

/**
 * Decodes a value of the store, which another program may have written.
 * @param key the value's key, for the log line
 * @return the result of @p decode; nothing, with a log line, if the value is malformed
 */
template <typename Decode>
auto decodeStored(const std::string &key, Decode decode) -> std::optional<decltype(decode())>
{
    try {
        return decode();
    } catch (const Json::exception &error) {
        LOG(ERROR) << "event=stored_value_malformed key=" << key << " error=" << error.what();
    } catch (const ProtocolError &error) {
        LOG(ERROR) << "event=stored_value_malformed key=" << key << " error=" << error.what();
    }
    return std::nullopt;
}

} // namespace Cranberrymount
