#include "LimitedServer.h"

#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>

namespace Cranberrymount {

namespace {

/** Time that a worker takes to start a run, and to report if no run ends. */
constexpr Duration StartTime{3};
constexpr Duration ReportTime{100};

} // namespace

struct LimitedServer::Connection
{
    explicit Connection(asio::ip::tcp::socket socket)
        : socket(std::move(socket))
        , timer(this->socket.get_executor())
    {
    }
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    asio::streambuf buffer;
    std::string response;
};

LimitedServer::LimitedServer(std::size_t maxConnections)
    : m_maxConnections(maxConnections)
{
    accept();
    m_thread = std::thread([this] { m_context.run(); });
}

LimitedServer::~LimitedServer()
{
    m_context.stop();
    m_thread.join();
}

void LimitedServer::accept()
{
    m_acceptor.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
        if (error)
            return;
        if (m_openCount >= m_maxConnections) {
            ++m_resetCount;
            // Closing with a linger time of 0 resets the connection.
            socket.set_option(asio::socket_base::linger(true, 0));
            socket.close();
        } else {
            ++m_openCount;
            readRequest(std::make_shared<Connection>(std::move(socket)));
        }
        accept();
    });
}

void LimitedServer::readRequest(const std::shared_ptr<Connection> &connection)
{
    asio::async_read_until(
        connection->socket, connection->buffer, "\r\n\r\n",
        [this, connection](const asio::error_code &error, std::size_t headerSize) {
            if (error) {
                --m_openCount;
                return;
            }
            const auto begin = asio::buffers_begin(connection->buffer.data());
            const std::string header(begin, begin + static_cast<long>(headerSize));
            connection->buffer.consume(headerSize);
            const std::string lengthHeader = "Content-Length: ";
            const std::size_t position = header.find(lengthHeader);
            const std::size_t bodySize = position == std::string::npos
                ? 0
                : std::stoul(header.substr(position + lengthHeader.size()));
            const std::size_t missing = bodySize - std::min(bodySize, connection->buffer.size());
            asio::async_read(
                connection->socket, connection->buffer, asio::transfer_exactly(missing),
                [this, connection, bodySize, header](const asio::error_code &failure, std::size_t) {
                    if (failure) {
                        --m_openCount;
                        return;
                    }
                    connection->buffer.consume(bodySize);
                    const std::size_t pathBegin = header.find('/');
                    respond(connection,
                            header.substr(pathBegin, header.find(' ', pathBegin) - pathBegin));
                });
        });
}

void LimitedServer::respond(const std::shared_ptr<Connection> &connection, const std::string &path)
{
    const bool isStart = path == "/-/run-start";
    if (isStart && closesAfterNextStart.exchange(false)) {
        ++m_startCount;
        --m_openCount;
        m_acceptor.close();
        return connection->socket.close();
    }
    const std::string body =
        isStart ? R"({"clockMs":5})" : R"({"clockMs":5,"born":1,"running":[],"finished":[]})";
    connection->response = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
    connection->timer.expires_after(isStart ? StartTime : ReportTime);
    connection->timer.async_wait([this, connection, isStart](const asio::error_code &) {
        m_startCount += isStart ? 1 : 0;
        asio::async_write(connection->socket, asio::buffer(connection->response),
                          [this, connection](const asio::error_code &error, std::size_t) {
                              if (error)
                                  --m_openCount;
                              else
                                  readRequest(connection);
                          });
    });
}

} // namespace Cranberrymount
