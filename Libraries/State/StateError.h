#pragma once

#include <stdexcept>

namespace Cranberrymount {

/** State contradicts itself or lacks what was asked of it. */
class StateError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace Cranberrymount
