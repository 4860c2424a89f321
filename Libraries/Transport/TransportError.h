#pragma once

#include <stdexcept>

namespace Cranberrymount {

/** A connection, socket or HTTP exchange failed, whatever the content of its message. */
class TransportError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace Cranberrymount
