#include "Service/EntryNode.h"
#include "Service/EntryApi.h"

#include "EndToEnd/PortReservation.h"

#include <catch2/catch.hpp>

#include <future>

#include <unistd.h>

using namespace Cranberrymount;

namespace {

/** An entry instance that reaches neither store nor peers. */
class EntryNodeFixture
{
protected:
    EntryNodeFixture() { m_node.start(); }

    /** @return the response to a GET request, or one with status 0 if none arrives in time. */
    HttpResponse get(const std::string &path)
    {
        HttpRequest request;
        request.method = "GET";
        request.path = path;
        const auto response = std::make_shared<std::promise<HttpResponse>>();
        m_api.handle(std::move(request),
                     [response](const HttpResponse &answer) { response->set_value(answer); });
        auto answer = response->get_future();
        if (answer.wait_for(std::chrono::seconds(5)) != std::future_status::ready)
            return {0, {}};
        return answer.get();
    }

    /** Lets this entry answer other entries' calls of @p method with @p text. */
    void answerCallsWith(const std::string &method, const std::string &text)
    {
        std::promise<void> done;
        m_node.runOnControlThread([&] {
            m_node.controlPlane().addMethod(method, [text](const std::string &) { return text; });
            done.set_value();
        });
        done.get_future().wait();
    }

    PortReservation m_peerPort{static_cast<unsigned>(getpid())};
    EntryNode m_node{[this] {
        Settings settings;
        settings.entry = EntryId("entry");
        settings.zone = ZoneId("zone");
        settings.peer = {"127.0.0.1", m_peerPort.port()};
        settings.storeUrl = settings.instancesUrl = "http://127.0.0.1:1";
        return settings;
    }()};
    EntryApi m_api{m_node};
};

} // namespace

// Guards against a caller without a response, and entries that end, over one entry's odd reply.
TEST_CASE_METHOD(EntryNodeFixture, "Request is answered although an entry's reply is malformed",
                 "[entry]")
{
    answerCallsWith("trace",
                    GENERATE("text", "[7]", R"([{"name":"lookup"},{"name":"jobs"}])", "7"));
    CHECK(get("/requests/0123").status != 0);
    CHECK(get("/status").status == 200);
}

// Guards against a process that ends because one callback has failed.
TEST_CASE_METHOD(EntryNodeFixture, "Entry goes on after an action on its control thread has failed",
                 "[entry]")
{
    m_node.runOnControlThread([] { throw std::runtime_error("failed"); });
    CHECK(get("/status").status == 200);
}

// Guards against a name in a response that is not JSON.
TEST_CASE_METHOD(EntryNodeFixture, "Request for a name that is not UTF-8 is answered in JSON",
                 "[entry]")
{
    const HttpResponse response = get("/requests/\xff\"");
    CHECK(response.status == 404);
    CHECK(Json::accept(response.body));
}
