#include "Transport/HttpServer.h"
#include "Transport/HttpClient.h"

#include <catch2/catch.hpp>

#include <future>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

using namespace Cranberrymount;

namespace {

constexpr uint16_t Port = 20'871;

/** Holds requests without responding to them, as a store does with watches. */
class HeldRequests
{
public:
    void hold(HttpResponder respond)
    {
        const std::lock_guard lock(m_mutex);
        m_held.push_back(std::move(respond));
    }
    std::size_t count()
    {
        const std::lock_guard lock(m_mutex);
        return m_held.size();
    }

private:
    std::mutex m_mutex;
    std::vector<HttpResponder> m_held;
};

} // namespace

TEST_CASE("Requests without a response end with an unknown outcome when their server is destroyed",
          "[transport]")
{
    HttpClient client;
    auto held = std::make_unique<HeldRequests>();
    auto server = std::make_unique<HttpServer>(
        Endpoint{"127.0.0.1", Port}, HttpServerLimits(),
        [&held](const HttpRequest &, HttpResponder respond) { held->hold(std::move(respond)); });
    constexpr std::size_t RequestCount = 20;
    std::vector<std::promise<HttpResult>> results(RequestCount);
    for (auto &result : results) {
        HttpCall call;
        call.url = "http://127.0.0.1:" + std::to_string(Port) + "/watch";
        call.timeout = Duration(20'000);
        client.send(std::move(call),
                    [&result](const HttpResult &callResult) { result.set_value(callResult); });
    }
    while (held->count() < RequestCount)
        std::this_thread::yield();
    server.reset();
    held.reset();
    for (auto &result : results)
        CHECK(result.get_future().get().outcome == HttpResult::Unknown);
}
