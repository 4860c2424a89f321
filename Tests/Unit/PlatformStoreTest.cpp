#include "PlatformStore.h"

#include "EndToEnd/PortReservation.h"

#include "Transport/HttpServer.h"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <unistd.h>

using namespace Cranberrymount;
using namespace Cranberrymount::Platform;

namespace {

/** @return the outcome of a commit that is answered with @p status. */
CommitResult::Outcome commitAnsweredWith(int status)
{
    const PortReservation port(static_cast<unsigned>(getpid()));
    asio::io_context context(1);
    HttpServer server(context, {"127.0.0.1", port.port()}, {},
                      [status](const HttpRequest &, const HttpResponder &respond) {
                          respond({status, "{}"});
                      });
    HttpClient client(context, 2);
    PlatformStore store(client, context, {"127.0.0.1", port.port()});
    CommitResult::Outcome outcome = CommitResult::Committed;
    store.commit({}, [&](const CommitResult &result) {
        outcome = result.outcome;
        context.stop();
    });
    context.run();
    return outcome;
}

} // namespace

// Guards against losing the whole list because of one value that cannot be decoded.
TEST_CASE("Item of the store that cannot be decoded is left out of the list", "[platform]")
{
    const PortReservation port(static_cast<unsigned>(getpid()));
    asio::io_context context(1);
    HttpServer server(context, {"127.0.0.1", port.port()}, {},
                      [](const HttpRequest &, const HttpResponder &respond) {
                          respond({200, R"({"at":9,"items":[
                              {"key":"a/1","value":"b25l","revision":1},
                              {"key":"a/2","value":"?","revision":2},
                              {"key":"a/3","value":7,"revision":3},
                              {"key":"a/4","value":"Zm91cg==","revision":4}]})"});
                      });
    HttpClient client(context, 2);
    PlatformStore store(client, context, {"127.0.0.1", port.port()});
    StoreRead read;
    store.list("a/", [&](const StoreRead &answer) {
        read = answer;
        context.stop();
    });
    context.run();
    CHECK(read.answered);
    REQUIRE(read.entries.size() == 2);
    CHECK(read.entries[0].value == "one");
    CHECK(read.entries[1].value == "four");
}

// Guards against a write that is taken for not done: of the server's errors, only 503 is documented
// to mean that nothing was done.
TEST_CASE("Commit that is answered with an undocumented server error may have been done",
          "[platform]")
{
    const int status = GENERATE(500, 502, 504);
    INFO(status);
    CHECK(commitAnsweredWith(status) == CommitResult::Unknown);
}

TEST_CASE("Commit that the store refuses was not done", "[platform]")
{
    const int status = GENERATE(400, 403, 429, 503);
    INFO(status);
    CHECK(commitAnsweredWith(status) == CommitResult::NotDone);
}
