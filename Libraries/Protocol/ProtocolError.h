#pragma once

#include <stdexcept>

namespace Cranberrymount {

/** A message arrived whole but does not mean what its protocol allows. */
class ProtocolError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace Cranberrymount
