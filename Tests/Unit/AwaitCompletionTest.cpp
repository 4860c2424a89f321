#include "Service/AwaitCompletion.h"

#include <catch2/catch.hpp>

using namespace Cranberrymount;

// Guards against a completion that arrives after the shutdown has stopped waiting for it.
TEST_CASE("Completion after the deadline, or a second one, has no effect", "[shutdown]")
{
    std::function<void()> complete;
    const auto keep = [&complete](std::function<void()> done) { complete = std::move(done); };
    const auto now = std::chrono::steady_clock::now();
    CHECK_FALSE(awaitCompletion(now + std::chrono::milliseconds(20), keep));
    CHECK_NOTHROW(complete());
    CHECK_NOTHROW(complete());
}

TEST_CASE("Wait for a completion ends with it", "[shutdown]")
{
    const auto now = std::chrono::steady_clock::now();
    CHECK(awaitCompletion(now + std::chrono::seconds(60), [](const std::function<void()> &done) {
        done();
        done();
    }));
}
