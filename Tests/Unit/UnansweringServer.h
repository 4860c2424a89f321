#pragma once

#include "State/Worker.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace Cranberrymount {

/**
 * An HTTP server that reads the first request to one path and closes its connection without a
 * response, as a worker does that executes the request late. It answers all other requests, one
 * connection at a time.
 */
class UnansweringServer
{
public:
    struct Response
    {
        std::string status = "200 OK";
        std::string body = "{}";
    };

    /**
     * @param path the path, with its leading slash; if empty, all requests are answered
     * @param again response to later requests to @p path
     * @param other response to requests to other paths
     */
    UnansweringServer(std::string path, Response again, Response other);
    ~UnansweringServer();

    const Endpoint &address() const { return m_address; }
    /** @return the number of requests to @p path that were read. */
    std::size_t receivedCount(const std::string &path);
    /** Blocks until the server has closed @p count connections. */
    void awaitClosed(std::size_t count) const;

    /** Each connection is closed after its first response. */
    std::atomic<bool> closesAfterResponse = false;
    /** The unanswered request is the last one: new connections are refused after it. */
    std::atomic<bool> stopsListening = false;

private:
    void serve();
    void serveConnection(asio::ip::tcp::socket &socket);

    std::string m_path;
    Response m_again;
    Response m_other;
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor{m_context, {asio::ip::make_address("127.0.0.1"), 0}};
    Endpoint m_address{"127.0.0.1", m_acceptor.local_endpoint().port()};
    std::mutex m_mutex;
    std::vector<std::string> m_received;
    /** The connection that is served now. */
    std::optional<asio::ip::tcp::socket> m_connection;
    std::atomic<std::size_t> m_closedCount = 0;
    std::atomic<bool> m_isOver = false;
    /** Last, since it uses the members above. */
    std::thread m_thread;
};

} // namespace Cranberrymount
