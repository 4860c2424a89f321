#include "Protocol/HttpStore.h"

#include "EndToEnd/PortReservation.h"
#include "Protocol/ProtocolError.h"
#include "Transport/HttpServer.h"

#include <catch2/catch.hpp>

#include <unistd.h>

using namespace Cranberrymount;

namespace {

/** A store that gives the same answer to each call. */
class HttpStoreFixture
{
protected:
    void runUntilQuiet()
    {
        const auto guard = asio::make_work_guard(m_context);
        m_context.run_for(Duration(500));
    }

    std::string m_answer = R"({"revision":4})";
    PortReservation m_port{static_cast<unsigned>(getpid())};
    HttpServer m_server{{"127.0.0.1", m_port.port()},
                        HttpServerLimits(),
                        [this](const HttpRequest &, const HttpResponder &respond) {
                            respond({200, m_answer});
                        }};
    asio::io_context m_context;
    HttpClient m_client;
    HttpStore m_store{m_client, m_context, "http://127.0.0.1:" + std::to_string(m_port.port()),
                      Duration(1000)};
};

} // namespace

// Guards against a write that counts as unanswered after its answer was used.
TEST_CASE_METHOD(HttpStoreFixture, "Callback that fails is not called again", "[store]")
{
    std::vector<StoreWrite::Outcome> outcomes;
    m_store.write({"key", "value", {}, {}}, [&outcomes](const StoreWrite &write) {
        outcomes.push_back(write.outcome);
        throw ProtocolError("the handling of the answer failed");
    });
    CHECK_THROWS_AS(runUntilQuiet(), ProtocolError);
    runUntilQuiet();
    CHECK(outcomes == std::vector{StoreWrite::Written});
}

TEST_CASE_METHOD(HttpStoreFixture, "Answer of the store that is malformed is in doubt", "[store]")
{
    m_answer = GENERATE("", "text", "{}", R"({"revision":"four"})", R"({"entries":[{}]})");
    std::vector<StoreWrite::Outcome> writes;
    std::vector<bool> reads;
    m_store.write({"key", "value", {}, {}},
                  [&writes](const StoreWrite &write) { writes.push_back(write.outcome); });
    m_store.read("key", [&reads](const StoreRead &read) { reads.push_back(read.answered); });
    runUntilQuiet();
    CHECK(writes == std::vector{StoreWrite::Unknown});
    CHECK(reads == std::vector{false});
}
