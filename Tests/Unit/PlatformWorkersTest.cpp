#include "PlatformWorkers.h"

#include "Transport/HttpServer.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <optional>
#include <thread>

using namespace Cranberrymount;
using namespace Cranberrymount::Platform;

namespace {

constexpr uint16_t StatusPort = 18'472;

/** Reads one request with a body from @p socket. @return its path, or nothing at the end. */
std::optional<std::string> readRequest(asio::ip::tcp::socket &socket, asio::streambuf &buffer)
{
    asio::error_code error;
    asio::read_until(socket, buffer, "\r\n\r\n", error);
    if (error)
        return std::nullopt;
    const std::string text(asio::buffers_begin(buffer.data()), asio::buffers_end(buffer.data()));
    const std::size_t headerEnd = text.find("\r\n\r\n") + 4;
    const std::size_t length = std::stoul(text.substr(text.find("Content-Length: ") + 16));
    if (text.size() < headerEnd + length)
        asio::read(socket, buffer, asio::transfer_exactly(headerEnd + length - text.size()), error);
    buffer.consume(headerEnd + length);
    return text.substr(5, text.find(' ', 5) - 5);
}

void answer(asio::ip::tcp::socket &socket, const std::string &status, const std::string &body)
{
    asio::error_code ignored;
    asio::write(socket,
                asio::buffer("HTTP/1.1 " + status
                             + "\r\nContent-Type: application/json\r\nContent-Length: "
                             + std::to_string(body.size()) + "\r\n\r\n" + body),
                ignored);
}

/** Runs @p worker's commands until one is answered. */
StartReply startAt(uint16_t port, bool holdsFirst)
{
    asio::io_context context(1);
    HttpClient client(context, 8);
    PlatformWorkers workers(client, context, {});
    StartReply result;
    const CommandTarget to{{"127.0.0.1", port}, WorkerId("w"), Epoch(1), {}};
    const auto start = [&] {
        StartCall call;
        call.to = to;
        call.task = {JobId("0123456789abcdef"), 0, 0, 0};
        call.attempt = 1;
        workers.start(std::move(call), [&](const StartReply &reply) {
            result = reply;
            context.stop();
        });
    };
    if (holdsFirst) {
        HoldCall call;
        call.to = to;
        workers.hold(std::move(call), [&](const HoldReply &) { start(); });
    } else {
        start();
    }
    context.run();
    return result;
}

} // namespace

// Guards against a run that is taken for lost: libcurl sends a start again if a reused connection
// breaks, and the second one is refused because the first one's run has ended.
TEST_CASE("Start whose reused connection breaks after it was read is not counted as refused",
          "[platform]")
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    std::atomic<int> starts = 0;
    std::atomic<bool> isOver = false;
    std::thread server([&] {
        while (!isOver) {
            asio::ip::tcp::socket socket(context);
            asio::error_code error;
            acceptor.accept(socket, error);
            asio::streambuf buffer;
            while (const auto path = readRequest(socket, buffer)) {
                if (*path == "-/hold") {
                    answer(socket, "200 OK",
                           R"({"clockMs":5,"born":1,"running":[],"finished":[]})");
                } else if (++starts == 1) {
                    // Executed, but the connection breaks before the response.
                    break;
                } else {
                    answer(socket, "409 Conflict", R"({"clockMs":900,"reason":"old"})");
                }
            }
        }
    });
    const StartReply reply = startAt(acceptor.local_endpoint().port(), true);
    isOver = true;
    asio::ip::tcp::socket last(context);
    last.connect(acceptor.local_endpoint());
    last.close();
    server.join();
    INFO("starts received " << starts);
    // The leader waits for a report after each of the two.
    CHECK((reply.outcome == StartReply::Unknown || reply.outcome == StartReply::Outdated));
}

// Guards against a run that is taken for lost: the start was sent, though libcurl could not open
// the connection on which it would send it again.
TEST_CASE("Start that was read before its worker became unreachable counts as unanswered",
          "[platform]")
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    const uint16_t port = acceptor.local_endpoint().port();
    std::thread server([&] {
        asio::ip::tcp::socket socket(context);
        acceptor.accept(socket);
        asio::streambuf buffer;
        readRequest(socket, buffer);
        answer(socket, "200 OK", R"({"clockMs":5,"born":1,"running":[],"finished":[]})");
        readRequest(socket, buffer);
        acceptor.close();
    });
    const StartReply reply = startAt(port, true);
    server.join();
    CHECK(reply.outcome == StartReply::Unknown);
}

// Guards against a run that is taken for lost: only 400, 409, 421, 429 and 503 are documented to
// mean that a start was not executed.
TEST_CASE("Start that is answered with an undocumented status counts as unanswered", "[platform]")
{
    const int status = GENERATE(500, 502, 504);
    asio::io_context context(1);
    HttpServer server({"127.0.0.1", StatusPort}, HttpServerLimits(),
                      [status](const HttpRequest &, const HttpResponder &respond) {
                          respond({status, "{}"});
                      });
    CHECK(startAt(StatusPort, false).outcome == StartReply::Unknown);
}
