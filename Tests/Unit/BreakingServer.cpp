#include "BreakingServer.h"

#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <array>
#include <ostream>
#include <string_view>

namespace Cranberrymount {

namespace {

/** Fixed, so that the largest body of the tests never fits into the buffers. */
constexpr int ReceiveBufferSize = 65'536;
constexpr std::size_t FillerCount = 4;
constexpr const char *EndPath = "/end";
constexpr const char *HeaderEnd = "\r\n\r\n";

void write(asio::ip::tcp::socket &socket, std::string_view text)
{
    asio::error_code ignored;
    asio::write(socket, asio::buffer(text.data(), text.size()), ignored);
}

bool isReset(BreakingServer::Break way)
{
    using enum BreakingServer::Break;
    return way == ResetAtOnce || way == ResetUnread || way == ResetAfterHeaders
        || way == ResetInBody || way == ResetAfterRequest || way == ResetAfterStatusLine
        || way == ResetAfterContinue;
}

void discardUntilClosed(asio::ip::tcp::socket &socket)
{
    asio::error_code error;
    std::array<char, 4096> bytes{};
    while (!error)
        socket.read_some(asio::buffer(bytes), error);
}

} // namespace

BreakingServer::BreakingServer(Break way, Later later, bool answersFirst)
    : m_break(way)
    , m_later(later)
    , m_answersFirst(answersFirst)
{
    m_acceptor.set_option(asio::socket_base::receive_buffer_size(ReceiveBufferSize));
    m_thread = std::thread([this] { serve(); });
}

BreakingServer::~BreakingServer()
{
    finish();
}

void BreakingServer::awaitBreak() const
{
    while (!m_isBroken)
        std::this_thread::yield();
}

std::size_t BreakingServer::finish()
{
    if (!m_thread.joinable())
        return m_startCount;
    asio::error_code ignored;
    asio::ip::tcp::socket last(m_context);
    m_isReleased = true;
    m_isReleased.notify_all();
    // After a break with another Later than Served, the thread has ended or ends by itself.
    if (m_later == Later::Served || !m_isBroken) {
        last.connect({asio::ip::make_address(m_address.host), m_address.port}, ignored);
        write(last, std::string("GET ") + EndPath + " HTTP/1.1\r\n\r\n");
    }
    m_thread.join();
    return m_startCount;
}

void BreakingServer::serve()
{
    bool isServing = true;
    while (isServing) {
        asio::ip::tcp::socket socket(m_context);
        asio::error_code error;
        m_acceptor.accept(socket, error);
        isServing = !error && serveConnection(socket) && !(m_hasBroken && m_later != Later::Served);
    }
}

BreakingServer::Header BreakingServer::takeHeader(asio::streambuf &buffer)
{
    const std::string lengthName = "Content-Length: ";
    const std::string bytes(asio::buffers_begin(buffer.data()), asio::buffers_end(buffer.data()));
    const std::size_t end = bytes.find(HeaderEnd);
    if (end == std::string::npos)
        return {};
    const std::string text = bytes.substr(0, end);
    buffer.consume(end + std::string_view(HeaderEnd).size());
    Header header;
    const std::size_t pathBegin = text.find('/');
    header.path = text.substr(pathBegin, text.find(' ', pathBegin) - pathBegin);
    const std::size_t length = text.find(lengthName);
    if (length != std::string::npos)
        header.bodySize = std::stoul(text.substr(length + lengthName.size()));
    return header;
}

bool BreakingServer::serveConnection(asio::ip::tcp::socket &socket)
{
    asio::streambuf buffer;
    for (std::size_t requestCount = 0;; ++requestCount) {
        if (!m_hasBroken && requestCount == (m_answersFirst ? 1 : 0)) {
            m_hasBroken = true;
            breakConnection(socket, buffer);
            return true;
        }
        asio::error_code error;
        asio::read_until(socket, buffer, HeaderEnd, error);
        if (error)
            return true;
        const Header header = takeHeader(buffer);
        if (header.path == EndPath)
            return false;
        if (buffer.size() < header.bodySize)
            asio::read(socket, buffer, asio::transfer_exactly(header.bodySize - buffer.size()),
                       error);
        if (error)
            return true;
        buffer.consume(header.bodySize);
        m_startCount += header.path == StartPath ? 1 : 0;
        write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    }
}

void BreakingServer::countArrived(asio::ip::tcp::socket &socket, asio::streambuf &buffer)
{
    asio::error_code error;
    if (socket.available(error) > 0)
        buffer.commit(socket.receive(buffer.prepare(socket.available(error)),
                                     asio::socket_base::message_peek, error));
    const Header header = takeHeader(buffer);
    if (header.path == StartPath && buffer.size() >= header.bodySize)
        ++m_startCount;
}

void BreakingServer::prepareLater()
{
    asio::error_code ignored;
    if (m_later == Later::Refused)
        m_acceptor.close(ignored);
    if (m_later != Later::Unaccepted)
        return;
    m_acceptor.listen(0, ignored);
    for (std::size_t filler = 0; filler < FillerCount; ++filler) {
        // Unlike connect(), this does not wait for the connection.
        m_fillers.emplace_back(m_context).async_connect(
            {asio::ip::make_address(m_address.host), m_address.port},
            [](const asio::error_code &) {});
    }
}

void BreakingServer::readUntilBreak(asio::ip::tcp::socket &socket, asio::streambuf &buffer)
{
    using enum Break;
    asio::error_code error;
    if (m_break == ResetAtOnce || m_break == CloseAtOnce)
        return;
    socket.wait(asio::socket_base::wait_read, error);
    if (m_break == ResetUnread || m_break == CloseUnread)
        return countArrived(socket, buffer);
    asio::streambuf request;
    const std::size_t headerSize = asio::read_until(socket, request, HeaderEnd, error);
    const std::string bytes(asio::buffers_begin(request.data()), asio::buffers_end(request.data()));
    std::ostream(&buffer) << bytes;
    const std::size_t bodySize = takeHeader(request).bodySize;
    if (m_break == ResetAfterHeaders || m_break == CloseAfterHeaders)
        return countArrived(socket, buffer);
    const std::size_t wanted = headerSize + (m_break == ResetInBody ? bodySize / 2 : bodySize);
    if (buffer.size() < wanted)
        asio::read(socket, buffer, asio::transfer_exactly(wanted - buffer.size()), error);
    countArrived(socket, buffer);
}

void BreakingServer::breakConnection(asio::ip::tcp::socket &socket, asio::streambuf &buffer)
{
    using enum Break;
    prepareLater();
    if (m_break == NoReading) {
        m_isBroken = true;
        m_isReleased.wait(false);
        readUntilBreak(socket, buffer);
        return;
    }
    readUntilBreak(socket, buffer);
    if (m_break == Silence) {
        m_isBroken = true;
        return discardUntilClosed(socket);
    }
    if (m_break == ResetAfterStatusLine)
        write(socket, "HTTP/1.1 200 OK\r\n");
    if (m_break == CloseInHeaders)
        write(socket, "HTTP/1.1 200 OK\r\nContent-Le");
    if (m_break == ResetAfterContinue || m_break == CloseAfterContinue)
        write(socket, "HTTP/1.1 100 Continue\r\n\r\n");
    asio::error_code ignored;
    if (isReset(m_break))
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
    m_isBroken = true;
}

} // namespace Cranberrymount
