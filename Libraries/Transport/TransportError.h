#pragma once

#include <stdexcept>

namespace Cranberrymount {

/** A connection, socket or HTTP exchange failed; invalid content of a message is a ProtocolError.
 */
class TransportError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace Cranberrymount
