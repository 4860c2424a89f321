#include "UnansweringServer.h"

#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>

namespace Cranberrymount {

namespace {

/** Reads one request with a body. @return its path, or nothing at the end of the connection. */
std::optional<std::string> readRequest(asio::ip::tcp::socket &socket, asio::streambuf &buffer)
{
    const std::string lengthHeader = "Content-Length: ";
    asio::error_code error;
    const std::size_t headerSize = asio::read_until(socket, buffer, "\r\n\r\n", error);
    if (error)
        return std::nullopt;
    const std::string header(asio::buffers_begin(buffer.data()),
                             asio::buffers_begin(buffer.data()) + static_cast<long>(headerSize));
    buffer.consume(headerSize);
    const std::size_t lengthPosition = header.find(lengthHeader);
    const std::size_t bodySize = lengthPosition == std::string::npos
        ? 0
        : std::stoul(header.substr(lengthPosition + lengthHeader.size()));
    if (buffer.size() < bodySize)
        asio::read(socket, buffer, asio::transfer_exactly(bodySize - buffer.size()), error);
    if (error)
        return std::nullopt;
    buffer.consume(bodySize);
    const std::size_t pathBegin = header.find('/');
    return header.substr(pathBegin, header.find(' ', pathBegin) - pathBegin);
}

void write(asio::ip::tcp::socket &socket, const UnansweringServer::Response &response)
{
    asio::error_code ignored;
    asio::write(socket,
                asio::buffer("HTTP/1.1 " + response.status
                             + "\r\nContent-Type: application/json\r\nContent-Length: "
                             + std::to_string(response.body.size()) + "\r\n\r\n" + response.body),
                ignored);
}

} // namespace

UnansweringServer::UnansweringServer(std::string path, Response again, Response other)
    : m_path(std::move(path))
    , m_again(std::move(again))
    , m_other(std::move(other))
    , m_thread([this] { serve(); })
{
}

UnansweringServer::~UnansweringServer()
{
    m_isOver = true;
    asio::error_code ignored;
    {
        const std::lock_guard lock(m_mutex);
        if (m_connection)
            m_connection->shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    }
    // Ends the wait for another connection.
    asio::ip::tcp::socket last(m_context);
    last.connect({asio::ip::make_address(m_address.host), m_address.port}, ignored);
    last.close(ignored);
    m_thread.join();
}

std::size_t UnansweringServer::receivedCount(const std::string &path)
{
    const std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(std::ranges::count(m_received, path));
}

void UnansweringServer::awaitClosed(std::size_t count) const
{
    while (m_closedCount < count)
        std::this_thread::yield();
}

void UnansweringServer::serve()
{
    while (!m_isOver && m_acceptor.is_open()) {
        asio::ip::tcp::socket socket(m_context);
        asio::error_code error;
        m_acceptor.accept(socket, error);
        if (error)
            continue;
        {
            const std::lock_guard lock(m_mutex);
            m_connection.emplace(std::move(socket));
        }
        if (!m_isOver)
            serveConnection(*m_connection);
        {
            const std::lock_guard lock(m_mutex);
            m_connection.reset();
        }
        ++m_closedCount;
    }
}

void UnansweringServer::serveConnection(asio::ip::tcp::socket &socket)
{
    asio::streambuf buffer;
    while (const auto path = readRequest(socket, buffer)) {
        {
            const std::lock_guard lock(m_mutex);
            m_received.push_back(*path);
        }
        const bool isToPath = *path == m_path;
        if (isToPath && receivedCount(*path) == 1) {
            if (stopsListening)
                m_acceptor.close();
            return;
        }
        write(socket, isToPath ? m_again : m_other);
        if (closesAfterResponse)
            return;
    }
}

} // namespace Cranberrymount
