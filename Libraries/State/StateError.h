#pragma once

#include <stdexcept>

namespace Cranberrymount {

/** The state is inconsistent or lacks a requested object. */
class StateError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace Cranberrymount
