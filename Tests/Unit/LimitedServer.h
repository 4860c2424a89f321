#pragma once

#include "State/Time.h"
#include "State/Worker.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <atomic>
#include <thread>

namespace Cranberrymount {

/**
 * An HTTP server that takes a limited number of connections, as a worker does, and resets each one
 * beyond it. It closes no connection itself, so those of a peer that has lost power stay.
 */
class LimitedServer
{
public:
    explicit LimitedServer(std::size_t maxConnections);
    ~LimitedServer();

    const Endpoint &address() const { return m_address; }
    std::size_t openCount() const { return m_openCount; }
    /** @return the number of connections that were reset. */
    std::size_t resetCount() const { return m_resetCount; }
    /** @return the number of responses to requests to start a run. */
    std::size_t startCount() const { return m_startCount; }

    /** The next start is executed, but its connection is closed without a response, and new
     * connections are refused from then on. Those that are open stay in use. */
    std::atomic<bool> closesAfterNextStart = false;

private:
    struct Connection;

    void accept();
    void readRequest(const std::shared_ptr<Connection> &connection);
    void respond(const std::shared_ptr<Connection> &connection, const std::string &path);

    std::size_t m_maxConnections;
    std::atomic<std::size_t> m_openCount = 0;
    std::atomic<std::size_t> m_resetCount = 0;
    std::atomic<std::size_t> m_startCount = 0;
    asio::io_context m_context{1};
    asio::ip::tcp::acceptor m_acceptor{m_context, {asio::ip::make_address("127.0.0.1"), 0}};
    Endpoint m_address{"127.0.0.1", m_acceptor.local_endpoint().port()};
    /** Last, since it uses the members above. */
    std::thread m_thread;
};

} // namespace Cranberrymount
