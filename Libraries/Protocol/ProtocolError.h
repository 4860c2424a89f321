#pragma once

#include <stdexcept>

namespace Cranberrymount {

/** A message arrived complete, but its content violates the protocol. */
class ProtocolError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace Cranberrymount
