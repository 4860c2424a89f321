#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <memory>

namespace Cranberrymount {

/**
 * Begins an operation on another thread and blocks until it is complete.
 * @param deadline when to stop waiting; the operation may complete, or fail to, after that
 * @param begin begins the operation, which calls its argument when it is complete
 * @return true if the operation is complete
 */
inline bool awaitCompletion(std::chrono::steady_clock::time_point deadline,
                            const std::function<void(std::function<void()> done)> &begin)
{
    const auto completion = std::make_shared<std::promise<void>>();
    const auto wasCalled = std::make_shared<std::atomic_flag>();
    const auto future = completion->get_future();
    begin([completion, wasCalled] {
        if (!wasCalled->test_and_set())
            completion->set_value();
    });
    return future.wait_until(deadline) == std::future_status::ready;
}

} // namespace Cranberrymount
