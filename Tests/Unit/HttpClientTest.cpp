#include "Transport/HttpClient.h"
#include "Transport/CurlLoop.h"
#include "Transport/HttpServer.h"
#include "Transport/TransportError.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

using namespace Cranberrymount;

namespace {

/** Test cases run in parallel processes, so each one takes the first free port of this range. */
constexpr uint16_t FirstPort = 20'872;
constexpr uint16_t LastPort = 20'899;
constexpr int ShortCallCount = 1000;
/** Long polls of a leader with as many workers. */
constexpr std::size_t LongPollCount = 350;

/** A server that answers at once, except for the path /held, which it never answers. */
class HttpClientFixture
{
protected:
    std::size_t heldCount()
    {
        const std::lock_guard lock(m_mutex);
        return m_held.size();
    }

    HttpCall callTo(const std::string &path, Duration timeout) const
    {
        HttpCall call;
        call.url = "http://127.0.0.1:" + std::to_string(m_port) + path;
        call.timeout = timeout;
        return call;
    }

    void answer(const HttpRequest &request, HttpResponder respond)
    {
        if (request.path != "/held")
            return respond({});
        const std::lock_guard lock(m_mutex);
        m_held.push_back(std::move(respond));
    }

    /** Starts a server on the first free port and sets m_port to it. */
    std::unique_ptr<HttpServer> listen(const HttpServerLimits &limits = {})
    {
        for (m_port = FirstPort;; ++m_port) {
            try {
                return std::make_unique<HttpServer>(
                    Endpoint{"127.0.0.1", m_port}, limits,
                    [this](const HttpRequest &request, HttpResponder respond) {
                        answer(request, std::move(respond));
                    });
            } catch (const TransportError &) {
                if (m_port == LastPort)
                    throw;
            }
        }
    }

    void answerHeld()
    {
        const std::lock_guard lock(m_mutex);
        for (const HttpResponder &respond : m_held)
            respond({});
        m_held.clear();
    }

    std::mutex m_mutex;
    std::vector<HttpResponder> m_held;
    uint16_t m_port = 0;
    std::unique_ptr<HttpServer> m_server = listen();
    HttpClient m_client;
};

/** A client on the test's own event loop. */
class CountingFixture : public HttpClientFixture
{
protected:
    void openLongPolls()
    {
        for (std::size_t index = 0; index < LongPollCount; ++index)
            m_counted.send(callTo("/held", Duration(60'000)), [](const HttpResult &) {});
        while (heldCount() < LongPollCount)
            m_context.run_one();
    }

    /** @return how many handlers the event loop runs for ShortCallCount short calls. */
    std::size_t handlersOfShortCalls()
    {
        std::size_t handlers = 0;
        for (int call = 0; call < ShortCallCount; ++call) {
            std::optional<HttpResult> result;
            m_counted.send(callTo("/short", Duration(5000)),
                           [&result](HttpResult received) { result = std::move(received); });
            while (!result)
                handlers += m_context.run_one();
            REQUIRE(result->isOk());
        }
        return handlers;
    }

    asio::io_context m_context{1};
    HttpClient m_counted{m_context, 0};
};

std::size_t discardBody(char *, std::size_t size, std::size_t count, void *)
{
    return size * count;
}

/** libcurl calls this each time it does any work for a transfer. */
int countWork(void *count, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
{
    ++*static_cast<std::size_t *>(count);
    return 0;
}

/** Transfers of libcurl on a loop, and how often libcurl has worked on the long polls. */
class CurlLoopFixture : public HttpClientFixture
{
protected:
    CurlLoopFixture()
    {
        for (std::size_t index = 0; index < LongPollCount; ++index) {
            m_polls.push_back(transferTo("/held"));
            curl_easy_setopt(m_polls.back(), CURLOPT_NOPROGRESS, 0L);
            curl_easy_setopt(m_polls.back(), CURLOPT_XFERINFOFUNCTION, &countWork);
            curl_easy_setopt(m_polls.back(), CURLOPT_XFERINFODATA, &m_workOnPolls);
            m_loop.add(m_polls.back());
        }
        while (heldCount() < LongPollCount)
            m_context.run_one();
        // libcurl may have work left from the beginning of the long polls.
        m_context.run_for(Duration(100));
    }
    ~CurlLoopFixture()
    {
        for (CURL *poll : m_polls) {
            m_loop.remove(poll);
            curl_easy_cleanup(poll);
        }
    }
    CurlLoopFixture(const CurlLoopFixture &) = delete;
    CurlLoopFixture &operator=(const CurlLoopFixture &) = delete;

    CURL *transferTo(const std::string &path) const
    {
        CURL *transfer = curl_easy_init();
        curl_easy_setopt(transfer, CURLOPT_URL, callTo(path, {}).url.c_str());
        curl_easy_setopt(transfer, CURLOPT_WRITEFUNCTION, &discardBody);
        curl_easy_setopt(transfer, CURLOPT_PROXY, "");
        return transfer;
    }

    void makeShortCalls()
    {
        CURL *transfer = transferTo("/short");
        for (std::size_t call = 1; call <= ShortCallCount; ++call) {
            m_loop.add(transfer);
            while (m_endedCount < call)
                m_context.run_one();
        }
        curl_easy_cleanup(transfer);
    }

    asio::io_context m_context{1};
    std::size_t m_endedCount = 0;
    std::size_t m_workOnPolls = 0;
    CurlLoop m_loop{m_context, 0, [this](CURL *, CURLcode) { ++m_endedCount; }};
    std::vector<CURL *> m_polls;
};

} // namespace

// Guards against a leader whose calls cost more the more workers it has, as with
// curl_multi_perform(), which works on all open transfers for each event.
TEST_CASE_METHOD(CurlLoopFixture, "Calls cause no work on the long polls that are open",
                 "[transport]")
{
    const std::size_t before = m_workOnPolls;
    makeShortCalls();
    // libcurl itself works on a long poll when one of its timers expires, a few times a second.
    CHECK(m_workOnPolls - before < ShortCallCount);
}

// Guards against the same in the client around the loop: handlers that run for each long poll.
TEST_CASE_METHOD(CountingFixture, "Open long polls do not double the work of other calls",
                 "[transport]")
{
    const std::size_t withoutLongPolls = handlersOfShortCalls();
    openLongPolls();
    CHECK(handlersOfShortCalls() < 2 * withoutLongPolls);
}

TEST_CASE_METHOD(HttpClientFixture,
                 "Call without a response within its timeout ends with an unknown outcome",
                 "[transport]")
{
    const HttpResult result = m_client.sendAndWait(callTo("/held", Duration(200)));
    CHECK(result.outcome == HttpResult::Unknown);
    CHECK(m_client.sendAndWait(callTo("/short", Duration(5000))).isOk());
}

TEST_CASE_METHOD(HttpClientFixture,
                 "Call on an unresponsive connection ends after its stall timeout", "[transport]")
{
    HttpCall call = callTo("/held", Duration(30'000));
    call.stallTimeout = std::chrono::seconds(1);
    const auto before = std::chrono::steady_clock::now();
    CHECK(m_client.sendAndWait(call).outcome == HttpResult::Unknown);
    CHECK(std::chrono::steady_clock::now() - before < std::chrono::seconds(10));
}

// Guards against former leaders whose idle connections use up the connections of a worker.
TEST_CASE_METHOD(HttpClientFixture,
                 "Client closes idle connections, so that another client can reach a busy server",
                 "[transport]")
{
    constexpr std::size_t ServerConnections = 4;
    HttpServerLimits limits;
    limits.connections = ServerConnections;
    m_server = listen(limits);
    asio::io_context context;
    const auto runUntil = [&context](const std::function<bool()> &condition) {
        while (!condition()) {
            context.restart();
            context.run_for(std::chrono::milliseconds(5));
        }
    };
    HttpClient formerLeader(context, ServerConnections, std::chrono::seconds(1));
    std::size_t answeredCount = 0;
    const auto countAnswer = [&answeredCount](const HttpResult &result) {
        answeredCount += result.isOk() ? 1 : 0;
    };
    for (std::size_t call = 0; call < ServerConnections; ++call)
        formerLeader.send(callTo("/held", Duration(20'000)), countAnswer);
    runUntil([this] { return heldCount() == ServerConnections; });
    answerHeld();
    runUntil([&answeredCount] { return answeredCount == ServerConnections; });
    std::this_thread::sleep_for(std::chrono::milliseconds(2100));
    // As a node without workers still renews its lease in the store.
    formerLeader.send(callTo("/short", Duration(20'000)), countAnswer);
    runUntil([&answeredCount] { return answeredCount == ServerConnections + 1; });
    CHECK(m_client.sendAndWait(callTo("/short", Duration(2000))).isOk());
}

// Guards against former leaders that make no further call: libcurl closes idle connections only
// when it looks for one to reuse.
TEST_CASE_METHOD(HttpClientFixture, "Client that makes no further call closes its idle connections",
                 "[transport]")
{
    constexpr std::size_t ServerConnections = 2;
    HttpServerLimits limits;
    limits.connections = ServerConnections;
    m_server = listen(limits);
    asio::io_context context;
    HttpClient formerLeader(context, ServerConnections, std::chrono::seconds(1));
    std::size_t answeredCount = 0;
    for (std::size_t call = 0; call < ServerConnections; ++call)
        formerLeader.send(
            callTo("/held", Duration(20'000)),
            [&answeredCount](const HttpResult &result) { answeredCount += result.isOk() ? 1 : 0; });
    while (heldCount() < ServerConnections)
        context.run_for(std::chrono::milliseconds(5));
    answerHeld();
    context.run_for(std::chrono::milliseconds(3500));
    REQUIRE(answeredCount == ServerConnections);
    CHECK(formerLeader.connectionCount() == 0);
    CHECK(m_client.sendAndWait(callTo("/short", Duration(2000))).isOk());
}

// Guards against former leaders whose connections use up those of a worker.
TEST_CASE_METHOD(HttpClientFixture, "Client can close its connections and abort their calls",
                 "[transport]")
{
    HttpClient client;
    std::promise<HttpResult> promise;
    client.send(callTo("/held", Duration(20'000)),
                [&promise](HttpResult result) { promise.set_value(std::move(result)); });
    while (heldCount() == 0)
        std::this_thread::yield();
    client.closeConnections();
    CHECK(promise.get_future().get().outcome == HttpResult::Unknown);
    CHECK(client.sendAndWait(callTo("/short", Duration(2000))).isOk());
}

TEST_CASE("Call to a port without a listener ends as not sent", "[transport]")
{
    HttpClient client;
    HttpCall call;
    call.url = "http://127.0.0.1:1/";
    const HttpResult result = client.sendAndWait(call);
    CHECK(result.outcome == HttpResult::NotSent);
    CHECK(result.connectionFault == ConnectionFault::Refused);
}
