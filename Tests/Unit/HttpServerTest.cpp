#include "Transport/HttpServer.h"
#include "EndToEnd/PortReservation.h"
#include "Protocol/Json.h"
#include "Transport/HttpClient.h"

#include <asio.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include <unistd.h>

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

// Guards against an error body that is not JSON, because the error's text quotes the request.
TEST_CASE("Request whose handler fails gets an error body that is JSON", "[transport]")
{
    const std::string text = GENERATE("a \"quoted\" key", "line\nbreak", "not \xff UTF-8");
    const PortReservation port(static_cast<unsigned>(getpid()));
    HttpServer server(
        Endpoint{"127.0.0.1", port.port()}, HttpServerLimits(),
        [&text](const HttpRequest &, const HttpResponder &) { throw std::runtime_error(text); });
    HttpClient client;
    std::promise<HttpResult> result;
    HttpCall call;
    call.url = "http://127.0.0.1:" + std::to_string(port.port()) + "/";
    call.timeout = Duration(5000);
    client.send(std::move(call), [&result](const HttpResult &answer) { result.set_value(answer); });
    const HttpResult answer = result.get_future().get();
    CHECK(answer.status == 400);
    INFO(answer.body);
    CHECK(Json::accept(answer.body));
}

namespace {

/** A server whose responses exceed what the sockets' buffers hold, and a client that has requested
 * one and not read it. */
class SlowReaderFixture
{
protected:
    SlowReaderFixture()
    {
        m_socket.connect({asio::ip::make_address("127.0.0.1"), m_port.port()});
        asio::write(m_socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: s\r\n\r\n")));
        while (!m_wasAsked)
            std::this_thread::yield();
        std::this_thread::sleep_for(Duration(100));
    }

    bool becomesWritten()
    {
        for (int attempt = 0; attempt < 200 && m_server.responsesUnwritten() > 0; ++attempt)
            std::this_thread::sleep_for(Duration(10));
        return m_server.responsesUnwritten() == 0;
    }

    static constexpr std::size_t BodySize = 32'000'000;
    std::atomic<bool> m_wasAsked = false;
    PortReservation m_port{static_cast<unsigned>(getpid())};
    HttpServer m_server{{"127.0.0.1", m_port.port()},
                        HttpServerLimits(),
                        [this](const HttpRequest &, const HttpResponder &respond) {
                            respond({200, std::string(BodySize, 'x')});
                            m_wasAsked = true;
                        }};
    asio::io_context m_context;
    asio::ip::tcp::socket m_socket{m_context};
};

} // namespace

// LOST: a stopping node ended before its last responses were written.
TEST_CASE_METHOD(SlowReaderFixture, "Response is unwritten until a client that reads slowly has it",
                 "[transport][shutdown]")
{
    CHECK(m_server.requestsInFlight() == 0);
    CHECK(m_server.responsesUnwritten() == 1);
    std::string response;
    asio::error_code error;
    asio::read(m_socket, asio::dynamic_buffer(response), asio::transfer_at_least(BodySize), error);
    CHECK_FALSE(error);
    CHECK(becomesWritten());
}

// A stopping node waited in vain for clients that had left.
TEST_CASE_METHOD(SlowReaderFixture, "Response to a client that leaves does not stay unwritten",
                 "[transport][shutdown]")
{
    CHECK(m_server.responsesUnwritten() == 1);
    m_socket.close();
    CHECK(becomesWritten());
}
