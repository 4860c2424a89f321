// Clients that misuse their connections must not affect the requests of others.

#include "Deployment.h"

#include <asio.hpp>
#include <catch2/catch.hpp>

#include <list>

using namespace Cranberrymount;

namespace {

class RawConnectionDeployment : public ReadyDeployment
{
protected:
    bool isLookupServed() { return lookup("a-e0").status == 200; }

    /** Opens a connection to entry a-e0 and sends @p text on it. */
    asio::ip::tcp::socket &connectAndSend(const std::string &text)
    {
        const std::string url = deployment.entryUrl("a-e0");
        const auto port = static_cast<uint16_t>(std::stoi(url.substr(url.rfind(':') + 1)));
        asio::ip::tcp::socket &socket = m_sockets.emplace_back(m_context);
        socket.connect({asio::ip::make_address("127.0.0.1"), port});
        asio::write(socket, asio::buffer(text));
        return socket;
    }

    /** @return all that the entry sends before it closes the connection. */
    static std::string readAll(asio::ip::tcp::socket &socket)
    {
        std::string response;
        asio::error_code error;
        asio::read(socket, asio::dynamic_buffer(response), error);
        return response;
    }

private:
    asio::io_context m_context;
    std::list<asio::ip::tcp::socket> m_sockets;
};

const std::string CompleteRequest = "POST /lookup/open HTTP/1.1\r\nHost: entry\r\n"
                                    "Connection: close\r\nContent-Length: 2\r\n\r\n{}";

} // namespace

TEST_CASE_METHOD(RawConnectionDeployment,
                 "Client that half-closes its connection receives the complete response",
                 "[callers]")
{
    REQUIRE(awaitLookupsServed("a-e0"));
    asio::ip::tcp::socket &socket = connectAndSend(CompleteRequest);
    socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    CHECK(readAll(socket).starts_with("HTTP/1.1 200"));
}

TEST_CASE_METHOD(RawConnectionDeployment,
                 "Clients that stall in the middle of a request do not delay other requests",
                 "[callers]")
{
    REQUIRE(awaitLookupsServed("a-e0"));
    constexpr std::size_t StalledClients = 200;
    for (std::size_t number = 0; number < StalledClients; ++number)
        connectAndSend(CompleteRequest.substr(0, CompleteRequest.size() - 1));
    for (int number = 0; number < 50; ++number)
        CHECK(isLookupServed());
    // The entry closes stalled connections by itself.
    asio::ip::tcp::socket &last = connectAndSend(CompleteRequest.substr(0, 20));
    CHECK(readAll(last).empty());
    CHECK(isLookupServed());
}

TEST_CASE_METHOD(RawConnectionDeployment, "Malformed request closes only its own connection",
                 "[callers]")
{
    REQUIRE(awaitLookupsServed("a-e0"));
    asio::ip::tcp::socket &socket = connectAndSend("no such protocol\r\n\r\n");
    CHECK_FALSE(readAll(socket).starts_with("HTTP/1.1 200"));
    CHECK(isLookupServed());
}
