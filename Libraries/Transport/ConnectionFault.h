#pragma once

#include <cstdint>

namespace Cranberrymount {

/** What a server did with the new connection that was opened for a call. */
enum class ConnectionFault : uint8_t {
    None,
    /** It refused the connection, or reset it before any byte of the request was sent. */
    Refused,
    /** It ended the connection before its response, after part of the request was sent; it may
     * then have refused another one. */
    Reset,
};

} // namespace Cranberrymount
