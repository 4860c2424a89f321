#pragma once

#include <functional>
#include <memory>
#include <utility>

namespace Cranberrymount {

/** @return a callback whose first call, through any copy, goes to @p done; later ones do nothing.
 */
template <typename... Arguments>
std::function<void(Arguments...)> onlyFirst(std::function<void(Arguments...)> done)
{
    return [wasCalled = std::make_shared<bool>(false),
            done = std::move(done)](Arguments... arguments) {
        if (!std::exchange(*wasCalled, true))
            done(std::move(arguments)...);
    };
}

} // namespace Cranberrymount
