#include "UnansweringServer.h"

#include "Protocol/HttpStore.h"
#include "Protocol/HttpWorkerLink.h"

#include <catch2/catch.hpp>

using namespace Cranberrymount;

namespace {

constexpr Duration CallTimeout{2000};

/** Runs calls on one thread, which also runs their callbacks. */
class UnansweredCallFixture
{
protected:
    asio::io_context m_context{1};
    HttpClient m_client{m_context, 8};
};

} // namespace

// Guards against a second run of a task: libcurl sends an unanswered start again, and the worker
// refuses the copy, because its lease has ended since it executed the first one.
TEST_CASE_METHOD(UnansweredCallFixture,
                 "Start of the daemon that is left unanswered on a reused connection is not sent "
                 "again",
                 "[protocol]")
{
    UnansweringServer server("/w/start", {"409 Conflict"}, {});
    WorkerInfo worker;
    worker.url = "http://" + server.address().text() + "/w";
    HttpWorkerLink link(m_client, m_context, CallTimeout);
    StartResult::Outcome outcome = StartResult::Started;
    link.release(worker, EntryId("e"), Epoch(1), [&](bool isReleased) {
        REQUIRE(isReleased);
        link.start(worker, Epoch(1), {}, [&](const StartResult &result) {
            outcome = result.outcome;
            m_context.stop();
        });
    });
    m_context.run();
    CHECK(outcome == StartResult::Unknown);
    CHECK(server.receivedCount("/w/start") == 1);
}

// Guards against a lookup that is answered as in doubt although it has not run: libcurl sends an
// unanswered write of its claim again, and the copy conflicts with the first one.
TEST_CASE_METHOD(UnansweredCallFixture,
                 "Write to the daemon's store that is left unanswered on a reused connection is "
                 "not sent again",
                 "[protocol]")
{
    UnansweringServer server("/kv/claim", {"409 Conflict"}, {"200 OK", R"({"lease":1})"});
    HttpStore store(m_client, m_context, "http://" + server.address().text(), CallTimeout);
    StoreWrite::Outcome outcome = StoreWrite::Written;
    store.createLease(Duration(1000), [&](const StoreLease &lease) {
        REQUIRE(lease.alive);
        store.write({"claim", "value", Revision(), lease.id}, [&](const StoreWrite &write) {
            outcome = write.outcome;
            m_context.stop();
        });
    });
    m_context.run();
    CHECK(outcome == StoreWrite::Unknown);
    CHECK(server.receivedCount("/kv/claim") == 1);
}
