// Clients that exceed the limits of a node must not end it, exhaust its memory or descriptors, or
// keep it from answering others. The tests check no times and no share of served requests.

#include "CellProcess.h"

#include "State/Time.h"

#include <asio.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <list>
#include <thread>

#include <sys/socket.h>

using namespace Cranberrymount;
using Socket = asio::ip::tcp::socket;

namespace {

constexpr std::size_t BodyLimit = 65'536;
/** A node of this size may hold this much; an idle one holds 15 to 20 MB. */
constexpr std::size_t MemoryBound = std::size_t(64) * 1024 * 1024;
constexpr std::size_t DescriptorLimit = 400;
/** Files, and connections to workers, peers and the store, need the rest. */
constexpr std::size_t DescriptorBound = 300;
/** Body size up to which the node used to read requests before it refused them. */
constexpr std::size_t FormerReadLimit = 16 * BodyLimit;

std::string requestHead(const std::string &fields)
{
    return "POST /queue/0123456789abcdef HTTP/1.1\r\nHost: cell\r\n" + fields + "\r\n";
}

std::string announced(std::size_t length, std::size_t sent)
{
    return requestHead("Content-Length: " + std::to_string(length) + "\r\n")
        + std::string(sent, 'x');
}

/** @return a valid submission whose body has @p length bytes. */
std::string submission(std::size_t length)
{
    std::string body = R"(","steps":[{"count":1}]})";
    body = R"({"spec":")" + std::string(length - body.size() - 9, 'x') + body;
    return requestHead("Content-Length: " + std::to_string(body.size()) + "\r\n") + body;
}

/** @return a valid submission of at most @p length bytes that has as many steps as fit. */
std::string submissionOfManySteps(std::size_t length)
{
    const std::string step = R"({"count":1},)";
    std::string body = R"({"spec":"","steps":[)";
    while (body.size() + step.size() + 2 <= length)
        body += step;
    body.replace(body.size() - 1, 1, "]}");
    return requestHead("Content-Length: " + std::to_string(body.size()) + "\r\n") + body;
}

/** @return a chunked request whose body has @p length bytes in chunks of @p chunkLength bytes. */
std::string chunked(std::size_t length, std::size_t chunkLength, bool isEnded)
{
    std::string request = requestHead("Transfer-Encoding: chunked\r\n");
    char size[32];
    snprintf(size, sizeof size, "%zx\r\n", chunkLength);
    const std::string chunk = size + std::string(chunkLength, 'x') + "\r\n";
    for (std::size_t sent = 0; sent + chunkLength <= length; sent += chunkLength)
        request += chunk;
    return isEnded ? request + "0\r\n\r\n" : request;
}

std::string longHeaders(std::size_t length)
{
    std::string fields;
    for (int number = 0; fields.size() < length; ++number)
        fields += "X-Field-" + std::to_string(number) + ": " + std::string(8'000, 'h') + "\r\n";
    return "GET /queue/0123456789abcdef HTTP/1.1\r\nHost: cell\r\n" + fields;
}

std::string repeated(const std::string &text, std::size_t count)
{
    std::string result;
    for (std::size_t number = 0; number < count; ++number)
        result += text;
    return result;
}

/** A frame of a peer that announces 4 MB and does not end. */
std::string unendedFrame()
{
    return std::string("\x00\x00\x40\x00", 4) + std::string(4'000'000, 'f');
}

/** What each client of a crowd sends before it stays open. */
struct Crowd
{
    std::string name;
    std::size_t clients;
    std::function<std::string()> message;
};

std::vector<Crowd> crowds()
{
    return {
        {"announced bodies just under the former read limit", 80,
         [] { return announced(FormerReadLimit - 1, FormerReadLimit - 1000); }},
        {"announced bodies of 100 MB", 80, [] { return announced(100'000'000, 1'500'000); }},
        {"one chunk without an end", 80,
         [] {
             return requestHead("Transfer-Encoding: chunked\r\n") + "fffffff\r\n"
                 + std::string(FormerReadLimit - 1000, 'x');
         }},
        {"chunks of 64 KiB that stop short of the end", 80,
         [] { return chunked(FormerReadLimit - 1, 65'536, false); }},
        {"chunks of 16 bytes that stop short of the end", 80,
         [] { return chunked(FormerReadLimit - 1, 16, false); }},
        {"chunks of one byte that stop short of the end", 40,
         [] { return chunked(FormerReadLimit / 4, 1, false); }},
        {"chunks of one byte within the limit that stop short of the end", 150,
         [] { return chunked(BodyLimit - 1, 1, false); }},
        {"announced bodies within the limit that stop short of the end", 180,
         [] { return announced(BodyLimit, BodyLimit - 1); }},
        {"headers of 480 KB", 80, [] { return longHeaders(480'000); }},
        {"requests that are not read", 80,
         [] { return repeated("GET /metrics HTTP/1.1\r\nHost: cell\r\n\r\n", 2000); }},
        {"more connections than descriptors", 2 * DescriptorLimit, [] { return std::string(); }},
        {"requests without an end, more than descriptors", 2 * DescriptorLimit,
         [] { return announced(1000, 10); }},
        {"whole bodies of the limit that are held until a leader is found", 180,
         [] { return submission(BodyLimit); }},
        {"submissions of many steps that are held until a leader is found", 180,
         [] { return submissionOfManySteps(BodyLimit); }},
        {"small submissions of many steps that are held until a leader is found", 250,
         [] { return submissionOfManySteps(BodyLimit / 4); }},
    };
}

class HostileClientsFixture
{
protected:
    /** Opens a connection whose calls end after 2 s without progress. */
    Socket &connect(uint16_t port)
    {
        Socket &socket = m_sockets.emplace_back(m_context);
        asio::error_code ignored;
        socket.open(asio::ip::tcp::v4(), ignored);
        constexpr timeval Timeout{2, 0};
        setsockopt(socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &Timeout, sizeof Timeout);
        socket.connect({asio::ip::make_address("127.0.0.1"), port}, ignored);
        return socket;
    }

    /** Sends @p message until the node does not take it any more. */
    static void sendAll(Socket &socket, std::string_view message)
    {
        while (!message.empty()) {
            const ssize_t sent =
                ::send(socket.native_handle(), message.data(), message.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return;
            message.remove_prefix(static_cast<std::size_t>(sent));
        }
    }

    void sendCrowd(const Crowd &crowd, uint16_t port)
    {
        const std::string message = crowd.message();
        for (std::size_t number = 0; number < crowd.clients; ++number) {
            sendAll(connect(port), message);
            sample();
        }
    }

    /** @return what the node sends on @p socket until it closes it or sends nothing for 8 s. */
    static std::string response(Socket &socket)
    {
        constexpr timeval Timeout{8, 0};
        setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &Timeout, sizeof Timeout);
        std::string received;
        std::array<char, 4096> bytes{};
        while (received.find("\r\n\r\n") == std::string::npos) {
            const ssize_t length = ::recv(socket.native_handle(), bytes.data(), bytes.size(), 0);
            if (length <= 0)
                break;
            received.append(bytes.data(), static_cast<std::size_t>(length));
        }
        return received;
    }

    bool answers(uint16_t port)
    {
        Socket &socket = connect(port);
        sendAll(socket, "GET /queue/0123456789abcdef HTTP/1.1\r\nHost: cell\r\n\r\n");
        return response(socket).starts_with("HTTP/1.1 ");
    }

    /** Records the highest use of memory and descriptors. */
    void sample()
    {
        m_maxResident = std::max(m_maxResident, m_node.residentBytes());
        m_maxDescriptors = std::max(m_maxDescriptors, m_node.descriptorCount());
    }

    /** Checks the node while the crowd is connected, and after it has left. */
    void checkNode()
    {
        // Responses that are not read fill the sockets' buffers within this time.
        for (int step = 0; step < 10; ++step) {
            std::this_thread::sleep_for(Duration(50));
            sample();
        }
        CHECK(m_node.isAlive());
        CHECK(answers(m_node.frontPort()));
        sample();
        m_sockets.clear();
        CHECK(answers(m_node.frontPort()));
        CHECK(answers(m_node.readinessPort()));
        CHECK(answers(m_node.metricsPort()));
        sample();
        CAPTURE(m_maxResident / 1'048'576, m_node.residentBytes() / 1'048'576);
        CHECK(m_maxResident < MemoryBound);
        CHECK(m_maxDescriptors < DescriptorBound);
        CHECK(m_node.isAlive());
    }

    CellProcess m_node{{64, DescriptorLimit, BodyLimit}};
    asio::io_context m_context;
    std::list<Socket> m_sockets;
    std::size_t m_maxResident = 0;
    std::size_t m_maxDescriptors = 0;
};

} // namespace

TEST_CASE_METHOD(HostileClientsFixture,
                 "Node whose callers exceed the limits stays within its own and answers others",
                 "[hostile]")
{
    const std::vector<Crowd> all = crowds();
    const std::size_t index = GENERATE_COPY(range(std::size_t(0), all.size()));
    INFO(all[index].name);
    sendCrowd(all[index], m_node.frontPort());
    checkNode();
}

TEST_CASE_METHOD(HostileClientsFixture,
                 "Node whose metrics port gets requests over the limits answers others",
                 "[hostile]")
{
    const std::vector<Crowd> all = crowds();
    const std::size_t index = GENERATE_COPY(range(std::size_t(0), all.size()));
    INFO(all[index].name);
    sendCrowd(all[index], m_node.metricsPort());
    checkNode();
}

TEST_CASE_METHOD(HostileClientsFixture,
                 "Node whose readiness port gets requests over the limits answers others",
                 "[hostile]")
{
    const std::vector<Crowd> all = crowds();
    const std::size_t index = GENERATE_COPY(range(std::size_t(0), all.size()));
    INFO(all[index].name);
    sendCrowd(all[index], m_node.readinessPort());
    checkNode();
}

TEST_CASE_METHOD(HostileClientsFixture,
                 "Node whose peer port gets strangers' bytes stays within its limits", "[hostile]")
{
    std::vector<Crowd> all = crowds();
    all.push_back({"frames of 4 MB without an end", 40, unendedFrame});
    const std::size_t index = GENERATE_COPY(range(std::size_t(0), all.size()));
    INFO(all[index].name);
    sendCrowd(all[index], m_node.peerPort());
    checkNode();
}

TEST_CASE_METHOD(HostileClientsFixture,
                 "Node that gets many kinds of requests over the limits answers others",
                 "[hostile]")
{
    const std::vector<Crowd> all = crowds();
    std::vector<std::string> messages;
    messages.reserve(all.size());
    for (const Crowd &crowd : all)
        messages.push_back(crowd.message());
    const std::array<uint16_t, 4> ports{m_node.frontPort(), m_node.frontPort(),
                                        m_node.metricsPort(), m_node.peerPort()};
    constexpr std::size_t ClientCount = 260;
    for (std::size_t number = 0; number < ClientCount; ++number) {
        sendAll(connect(ports[number % ports.size()]), messages[number % messages.size()]);
        sample();
    }
    checkNode();
}

// Guards against limits that a request within them reaches.
TEST_CASE_METHOD(HostileClientsFixture, "Request of the largest size is read and answered",
                 "[hostile]")
{
    const std::string head = requestHead("Content-Length: " + std::to_string(BodyLimit) + "\r\n");
    const std::string body(BodyLimit, 'x');
    Socket &socket = connect(m_node.frontPort());
    SECTION("in one piece")
    {
        sendAll(socket, head + body);
    }
    SECTION("in chunks of one byte")
    {
        sendAll(socket, chunked(BodyLimit, 1, true));
    }
    SECTION("in pieces over two seconds")
    {
        constexpr std::size_t Pieces = 16;
        sendAll(socket, head);
        for (std::size_t piece = 0; piece < Pieces; ++piece) {
            sendAll(socket, body.substr(0, BodyLimit / Pieces));
            std::this_thread::sleep_for(Duration(125));
        }
    }
    SECTION("with headers of 16,384 bytes")
    {
        std::string fields = "X-Long: " + std::string(9'000, 'h') + "\r\n";
        for (int number = 0; number < 100; ++number)
            fields += "X-" + std::to_string(number) + ": " + std::string(60, 'h') + "\r\n";
        fields.resize(std::min<std::size_t>(fields.size(), 16'300));
        fields.resize(fields.rfind("\r\n") + 2);
        sendAll(socket, head.substr(0, head.size() - 2) + fields + "\r\n" + body);
    }
    const std::string answer = response(socket);
    INFO(answer);
    // A body that is read gets 400, since it is not JSON.
    CHECK(answer.starts_with("HTTP/1.1 400"));
}
