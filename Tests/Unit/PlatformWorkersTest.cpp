#include "PlatformWorkers.h"

#include "EndToEnd/PortReservation.h"

#include "UnansweringServer.h"

#include "Transport/HttpServer.h"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <unistd.h>

using namespace Cranberrymount;
using namespace Cranberrymount::Platform;

namespace {

constexpr const char *StartPath = "/-/run-start";
constexpr const char *HoldPath = "/-/hold";
const UnansweringServer::Response Report{"200 OK",
                                         R"({"clockMs":5,"born":1,"running":[],"finished":[]})"};

CommandTarget targetAt(const Endpoint &address)
{
    return {address, WorkerId("w"), Epoch(1), {}};
}

StartCall startCall(const Endpoint &address)
{
    StartCall call;
    call.to = targetAt(address);
    call.task = {JobId("0123456789abcdef"), 0, 0, 0};
    call.attempt = 1;
    return call;
}

/** Sends a start on a new connection. @return the reply to it. */
StartReply startAt(const Endpoint &address)
{
    asio::io_context context(1);
    HttpClient client(context, 8);
    PlatformWorkers workers(client, context, {});
    StartReply result;
    workers.start(startCall(address), [&](const StartReply &reply) {
        result = reply;
        context.stop();
    });
    context.run();
    return result;
}

/** Sends a start on the connection of an earlier command.
 * @param beforeStart runs between the two
 * @return the reply to the start */
StartReply startOnReusedConnection(
    const Endpoint &address, const std::function<void()> &beforeStart = [] {})
{
    asio::io_context context(1);
    HttpClient client(context, 8);
    PlatformWorkers workers(client, context, {});
    StartReply result;
    HoldCall hold;
    hold.to = targetAt(address);
    workers.hold(std::move(hold), [&](const HoldReply &first) {
        REQUIRE(first.outcome == HoldReply::Answered);
        beforeStart();
        workers.start(startCall(address), [&](const StartReply &reply) {
            result = reply;
            context.stop();
        });
    });
    context.run();
    return result;
}

} // namespace

// Guards against a run that is taken for lost: libcurl sends a start again if a reused connection
// breaks, and the second one is refused because the first one's run has ended.
TEST_CASE("Start whose reused connection breaks after it was read is not counted as refused",
          "[platform]")
{
    UnansweringServer worker(StartPath, {"409 Conflict", R"({"clockMs":900,"reason":"old"})"},
                             Report);
    CHECK(startOnReusedConnection(worker.address()).outcome == StartReply::Unknown);
}

// Guards against a second run of a task: libcurl sends an unanswered start again, the worker
// refuses the copy, and the first one is executed late.
TEST_CASE("Start that is left unanswered on a reused connection is not sent again", "[platform]")
{
    const std::string refusal =
        GENERATE("503 Service Unavailable", "429 Too Many Requests", "400 Bad Request");
    UnansweringServer worker(StartPath, {refusal}, Report);
    CHECK(startOnReusedConnection(worker.address()).outcome == StartReply::Unknown);
    CHECK(worker.receivedCount(StartPath) == 1);
}

// Guards against starts that fail because their worker closes idle connections.
TEST_CASE("Start after its worker has closed the reused connection uses a new one", "[platform]")
{
    UnansweringServer worker({}, {}, Report);
    worker.closesAfterResponse = true;
    const StartReply reply =
        startOnReusedConnection(worker.address(), [&worker] { worker.awaitClosed(1); });
    CHECK(reply.outcome == StartReply::Started);
}

// Guards against ends that are acknowledged to a worker's next incarnation: libcurl sends a report
// request again if its reused connection breaks because the worker has ended.
TEST_CASE("Report request that is left unanswered on a reused connection is not sent again",
          "[platform]")
{
    UnansweringServer worker(HoldPath, Report, {});
    asio::io_context context(1);
    HttpClient client(context, 8);
    PlatformWorkers workers(client, context, {});
    HoldReply::Outcome outcome = HoldReply::Answered;
    HoldCall hold;
    hold.to = targetAt(worker.address());
    const StartCall start = startCall(worker.address());
    workers.stop({start.to, start.task, start.attempt}, [&](const StopReply &first) {
        REQUIRE(first.outcome == StopReply::Accepted);
        workers.hold(hold, [&](const HoldReply &reply) {
            outcome = reply.outcome;
            context.stop();
        });
    });
    context.run();
    CHECK(outcome == HoldReply::Unreachable);
    CHECK(worker.receivedCount(HoldPath) == 1);
}

// Guards against a run that is taken for lost: the start was sent, though libcurl could not open
// the connection on which it would send it again.
TEST_CASE("Start that was read before its worker became unreachable counts as unanswered",
          "[platform]")
{
    UnansweringServer worker(StartPath, {}, Report);
    worker.stopsListening = true;
    CHECK(startOnReusedConnection(worker.address()).outcome == StartReply::Unknown);
}

// Guards against a run that is taken for lost: only 400, 409, 421, 429 and 503 are documented to
// mean that a start was not executed.
TEST_CASE("Start that is answered with an undocumented status counts as unanswered", "[platform]")
{
    const int status = GENERATE(500, 502, 504);
    asio::io_context context(1);
    const PortReservation port(static_cast<unsigned>(getpid()));
    HttpServer server({"127.0.0.1", port.port()}, HttpServerLimits(),
                      [status](const HttpRequest &, const HttpResponder &respond) {
                          respond({status, "{}"});
                      });
    CHECK(startAt({"127.0.0.1", port.port()}).outcome == StartReply::Unknown);
}

// Guards against a second run of a task: a refusal that the documentation does not know says
// nothing about whether the start was executed, or will be.
TEST_CASE("Start that is refused for an undocumented reason counts as unanswered", "[platform]")
{
    const std::string body = GENERATE(R"({"clockMs":5,"reason":"shut"})", R"({"clockMs":5})",
                                      R"({"clockMs":5,"reason":7})", "refused", "");
    INFO(body);
    asio::io_context context(1);
    const PortReservation port(static_cast<unsigned>(getpid()));
    HttpServer server({"127.0.0.1", port.port()}, HttpServerLimits(),
                      [&body](const HttpRequest &, const HttpResponder &respond) {
                          respond({409, body});
                      });
    CHECK(startAt({"127.0.0.1", port.port()}).outcome == StartReply::Unknown);
}

// Guards against a report that is taken for one of another task.
TEST_CASE("Report that names a task with more parts than a task's name has is unreadable",
          "[platform]")
{
    const std::string name = GENERATE("0123456789abcdef.0.0.1", "0123456789abcdef.0.0.1x",
                                      "0123456789abcdef.0.0.1.2", "0123456789abcdef.0.0.1 ");
    INFO(name);
    const std::string body =
        R"({"clockMs":5,"born":1,"running":[[")" + name + R"(",1,"",0]],"finished":[]})";
    UnansweringServer worker({}, {}, {"200 OK", body});
    asio::io_context context(1);
    HttpClient client(context, 8);
    PlatformWorkers workers(client, context, {});
    HoldReply result;
    HoldCall hold;
    hold.to = targetAt(worker.address());
    workers.hold(std::move(hold), [&](const HoldReply &reply) {
        result = reply;
        context.stop();
    });
    context.run();
    const bool isTask = name.ends_with(".1");
    CHECK(result.outcome == (isTask ? HoldReply::Answered : HoldReply::Unreachable));
}
