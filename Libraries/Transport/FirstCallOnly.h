#pragma once

#include <functional>
#include <memory>
#include <utility>

namespace Cranberrymount {

/** @return a callback that calls @p done when it or any of its copies is called first; later calls
 * do nothing. */
template <typename... Arguments>
std::function<void(Arguments...)> firstCallOnly(std::function<void(Arguments...)> done)
{
    return [wasCalled = std::make_shared<bool>(false),
            done = std::move(done)](Arguments... arguments) {
        if (!std::exchange(*wasCalled, true))
            done(std::move(arguments)...);
    };
}

} // namespace Cranberrymount
