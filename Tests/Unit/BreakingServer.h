#pragma once

#include "State/Worker.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/streambuf.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace Cranberrymount {

/**
 * An HTTP server that breaks one connection in a given state, as a worker does that fails. It
 * serves one connection at a time and counts the complete requests that have reached it, whether it
 * has read them or not.
 */
class BreakingServer
{
public:
    /** What happens to the connection; "unread": once data has arrived, which is not read. */
    enum class Break {
        ResetAtOnce,
        CloseAtOnce,
        ResetUnread,
        CloseUnread,
        ResetAfterHeaders,
        CloseAfterHeaders,
        ResetInBody,
        ResetAfterRequest,
        CloseAfterRequest,
        ResetAfterStatusLine,
        CloseInHeaders,
        ResetAfterContinue,
        CloseAfterContinue,
        /** The request is read and not answered. */
        Silence,
        /** Nothing is read until the peer has closed the connection. */
        NoReading,
    };
    /** What happens to connections that are opened after the break. */
    enum class Later {
        Served,
        Refused,
        /** The attempts to connect time out. */
        Unaccepted,
    };

    static constexpr const char *StartPath = "/start";

    /** @param answersFirst the first request on the connection is answered before the break */
    BreakingServer(Break way, Later later, bool answersFirst);
    ~BreakingServer();

    const Endpoint &address() const { return m_address; }
    /** Blocks until the connection has been broken, or is about to be silent. */
    void awaitBreak() const;
    /** Serves what has arrived and ends the server; the client must have closed its connections.
     * @return the number of complete requests to StartPath */
    std::size_t finish();

private:
    struct Header
    {
        std::string path;
        std::size_t bodySize = 0;
    };

    void serve();
    /** @return false if the server has to end. */
    bool serveConnection(asio::ip::tcp::socket &socket);
    void breakConnection(asio::ip::tcp::socket &socket, asio::streambuf &buffer);
    /** Reads what the server reads before the break. */
    void readUntilBreak(asio::ip::tcp::socket &socket, asio::streambuf &buffer);
    /** Counts the request that begins in @p buffer if its remainder has arrived. */
    void countArrived(asio::ip::tcp::socket &socket, asio::streambuf &buffer);
    void prepareLater();
    /** @return the header that @p buffer begins with, which is removed; no path if there is none.
     */
    static Header takeHeader(asio::streambuf &buffer);

    Break m_break;
    Later m_later;
    bool m_answersFirst;
    bool m_hasBroken = false;
    std::atomic<bool> m_isBroken = false;
    std::atomic<bool> m_isReleased = false;
    std::atomic<std::size_t> m_startCount = 0;
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor{m_context, {asio::ip::make_address("127.0.0.1"), 0}};
    Endpoint m_address{"127.0.0.1", m_acceptor.local_endpoint().port()};
    /** Connections that fill the queue of those to be accepted. */
    std::vector<asio::ip::tcp::socket> m_fillers;
    /** Last, since it uses the members above. */
    std::thread m_thread;
};

} // namespace Cranberrymount
