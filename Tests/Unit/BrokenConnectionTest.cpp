#include "BreakingServer.h"

#include "Transport/HttpClient.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <future>
#include <memory>
#include <optional>
#include <thread>

using namespace Cranberrymount;
using Break = BreakingServer::Break;
using Later = BreakingServer::Later;

namespace {

/** The longest specification of a job, and more than the buffers of a connection hold. */
constexpr std::size_t SmallBody = 4000;
constexpr std::size_t LargeBody = 16'000'000;
constexpr Duration AmpleTimeout{5000};
constexpr Duration ShortTimeout{150};

/** Sends one command to a server that breaks its connection, and compares the result with the
 * number of complete commands that arrived. */
class BrokenConnectionFixture
{
protected:
    void listen(Break way, Later later, bool isReused)
    {
        m_server.emplace(way, later, isReused);
        if (isReused)
            REQUIRE(m_client->sendAndWait(callTo("/first", SmallBody, AmpleTimeout)).isOk());
    }

    HttpCall callTo(const std::string &path, std::size_t bodySize, Duration timeout) const
    {
        HttpCall call;
        call.method = "POST";
        call.url = "http://" + m_server->address().text() + path;
        call.body.assign(bodySize, 'x');
        call.timeout = timeout;
        call.sendsBodyOnce = true;
        return call;
    }

    std::future<HttpResult> send(const HttpCall &call)
    {
        auto promise = std::make_shared<std::promise<HttpResult>>();
        m_client->send(call,
                       [promise](HttpResult result) { promise->set_value(std::move(result)); });
        return promise->get_future();
    }

    HttpResult sendStart(std::size_t bodySize, Duration timeout)
    {
        return m_client->sendAndWait(callTo(BreakingServer::StartPath, bodySize, timeout));
    }

    void checkAgainstArrived(const HttpResult &result)
    {
        m_client.reset();
        const std::size_t arrived = m_server->finish();
        UNSCOPED_INFO("outcome " << result.outcome << " (" << result.error << "), fault "
                                 << static_cast<int>(result.connectionFault)
                                 << ", complete requests " << arrived);
        const bool isTakenForUnsent = result.outcome == HttpResult::NotSent
            || result.connectionFault == ConnectionFault::Refused;
        CHECK(arrived <= (isTakenForUnsent ? 0 : 1));
        CHECK((result.outcome != HttpResult::Answered || arrived == 1));
        CHECK((result.connectionFault != ConnectionFault::Refused
               || result.outcome == HttpResult::NotSent));
    }

    std::optional<BreakingServer> m_server;
    std::unique_ptr<HttpClient> m_client = std::make_unique<HttpClient>();
};

} // namespace

// Guards against a second run of a task: a start that a worker has received counts as not sent.
TEST_CASE_METHOD(BrokenConnectionFixture,
                 "Command that a worker received before its connection broke never counts as not "
                 "sent",
                 "[transport]")
{
    const Break way =
        GENERATE(Break::ResetAtOnce, Break::CloseAtOnce, Break::ResetUnread, Break::CloseUnread,
                 Break::ResetAfterHeaders, Break::CloseAfterHeaders, Break::ResetInBody,
                 Break::ResetAfterRequest, Break::CloseAfterRequest, Break::ResetAfterStatusLine,
                 Break::CloseInHeaders, Break::ResetAfterContinue, Break::CloseAfterContinue);
    const Later later = GENERATE(Later::Served, Later::Refused);
    const bool isReused = GENERATE(false, true);
    const std::size_t bodySize = GENERATE(SmallBody, LargeBody);
    INFO("break " << static_cast<int>(way) << ", later connections " << static_cast<int>(later)
                  << (isReused ? ", reused" : ", new") << ", body " << bodySize);
    listen(way, later, isReused);
    checkAgainstArrived(sendStart(bodySize, AmpleTimeout));
}

// Guards against a second run of a task: libcurl tries another connection, which times out.
TEST_CASE_METHOD(BrokenConnectionFixture,
                 "Command whose second connection times out counts as not sent only if it did not "
                 "arrive",
                 "[transport]")
{
    const Break way = GENERATE(Break::ResetAtOnce, Break::CloseAtOnce, Break::ResetAfterHeaders,
                               Break::CloseAfterRequest);
    INFO("break " << static_cast<int>(way));
    listen(way, Later::Unaccepted, true);
    checkAgainstArrived(sendStart(SmallBody, AmpleTimeout));
}

// Guards against a second run of a task: the worker closes a connection while a start is written.
TEST_CASE_METHOD(BrokenConnectionFixture,
                 "Command that meets the end of its reused connection is not taken for unsent if "
                 "it arrived",
                 "[transport]")
{
    const Break way = GENERATE(Break::ResetAtOnce, Break::CloseAtOnce);
    const Later later = GENERATE(Later::Served, Later::Refused);
    const int delayUs = GENERATE(range(0, 400, 20));
    INFO("break " << static_cast<int>(way) << ", later connections " << static_cast<int>(later)
                  << ", after " << delayUs << " us");
    listen(way, later, true);
    const Instant sendAt = std::chrono::steady_clock::now() + std::chrono::microseconds(delayUs);
    while (std::chrono::steady_clock::now() < sendAt) { }
    checkAgainstArrived(sendStart(SmallBody, AmpleTimeout));
}

// Guards against a second run of a task: a start that has arrived counts as not sent once the
// leader closes its connections, or once the call times out.
TEST_CASE_METHOD(BrokenConnectionFixture,
                 "Command that ends before its answer never counts as not sent if it arrived",
                 "[transport]")
{
    const Break way = GENERATE(Break::Silence, Break::NoReading);
    const bool isReused = GENERATE(false, true);
    const std::size_t bodySize = GENERATE(SmallBody, LargeBody);
    const bool isTimeout = GENERATE(false, true);
    INFO("break " << static_cast<int>(way) << (isReused ? ", reused" : ", new") << ", body "
                  << bodySize << (isTimeout ? ", timeout" : ", closed by the client"));
    listen(way, Later::Served, isReused);
    auto result =
        send(callTo(BreakingServer::StartPath, bodySize, isTimeout ? ShortTimeout : AmpleTimeout));
    m_server->awaitBreak();
    if (!isTimeout) {
        std::this_thread::sleep_for(Duration(20));
        m_client->closeConnections();
    }
    checkAgainstArrived(result.get());
}

// Guards against a start that counts as unanswered, or as sent, although it was never written.
TEST_CASE_METHOD(BrokenConnectionFixture, "Command that waits for a connection counts as not sent",
                 "[transport]")
{
    const bool isTimeout = GENERATE(false, true);
    m_client = std::make_unique<HttpClient>(1);
    listen(Break::Silence, Later::Served, false);
    // libcurl notices that a call has timed out in its queue once it gets a connection.
    auto first = send(callTo("/other", SmallBody, isTimeout ? 2 * ShortTimeout : AmpleTimeout));
    m_server->awaitBreak();
    auto result =
        send(callTo(BreakingServer::StartPath, SmallBody, isTimeout ? ShortTimeout : AmpleTimeout));
    if (isTimeout)
        result.wait();
    m_client->closeConnections();
    CHECK(first.get().outcome == HttpResult::Unknown);
    const HttpResult queued = result.get();
    CHECK(queued.outcome == HttpResult::NotSent);
    checkAgainstArrived(queued);
}

TEST_CASE_METHOD(BrokenConnectionFixture, "Command that is being connected counts as not sent",
                 "[transport]")
{
    const bool isTimeout = GENERATE(false, true);
    listen(Break::CloseAtOnce, Later::Unaccepted, true);
    m_server->awaitBreak();
    auto result =
        send(callTo(BreakingServer::StartPath, SmallBody, isTimeout ? ShortTimeout : AmpleTimeout));
    if (!isTimeout) {
        std::this_thread::sleep_for(Duration(20));
        m_client->closeConnections();
    }
    const HttpResult ended = result.get();
    CHECK(ended.outcome == HttpResult::NotSent);
    checkAgainstArrived(ended);
}
