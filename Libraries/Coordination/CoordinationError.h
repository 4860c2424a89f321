#pragma once

#include <stdexcept>

namespace Cranberrymount {

/** What was asked for cannot be agreed with the other instances now. */
class CoordinationError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace Cranberrymount
