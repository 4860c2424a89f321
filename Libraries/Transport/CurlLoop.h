#pragma once

#include "State/Time.h"

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>

#include <functional>
#include <memory>
#include <unordered_map>

namespace Cranberrymount {

/**
 * Runs libcurl transfers on an event loop. It processes only transfers whose sockets are ready:
 * curl_multi_perform() would poll the sockets of all open transfers, and a leader has one open for
 * each worker.
 *
 * May be used only by the one thread that runs the context.
 */
class CurlLoop
{
public:
    using TransferEndHandler = std::function<void(CURL *transfer, CURLcode code)>;

    /**
     * @param maxHostConnections limit on open connections to one address; 0 for no limit
     * @param onEnded is called when a transfer has ended and was removed from the loop; the handle
     *        still belongs to the caller of add()
     * @throws TransportError if libcurl cannot be set up
     */
    CurlLoop(asio::io_context &context, std::size_t maxHostConnections, TransferEndHandler onEnded);
    ~CurlLoop();

    /** Starts a transfer whose options have been set. */
    void add(CURL *transfer);
    /** Aborts a transfer; its end is not reported. */
    void remove(CURL *transfer);

    /**
     * Ends the connections that no transfer has used since @p lastUse. libcurl has no call for it:
     * it closes idle connections only when it looks for one to reuse, so a client without transfers
     * would keep them. libcurl discards the connections that are ended here when it finds them.
     */
    void shutDownIdle(Instant lastUse);
    /** @return the number of connections that are neither closed nor shut down. */
    std::size_t connectionCount() const { return m_watches.size() - m_shutDownCount; }

private:
    /** An open socket of libcurl with the events that libcurl waits for. */
    struct Watch
    {
        Watch(asio::io_context &context, curl_socket_t socket)
            : descriptor(context, socket)
        {
        }
        asio::posix::stream_descriptor descriptor;
        /** CURL_POLL_IN, CURL_POLL_OUT or both; 0 while the connection is idle. */
        int wantedEvents = 0;
        bool isAwaitingRead = false;
        bool isAwaitingWrite = false;
        /** When the connection became idle. */
        Instant idleSince{};
        bool isShutDown = false;
    };
    using WatchHandle = std::shared_ptr<Watch>;

    static int onSocket(CURL *transfer, curl_socket_t socket, int wantedEvents, void *self,
                        void *socketData);
    static int onTimer(CURLM *multi, long timeoutMs, void *self);
    static int onClose(void *self, curl_socket_t socket);

    void watch(curl_socket_t socket, int wantedEvents);
    void waitForEvents(const WatchHandle &watch, curl_socket_t socket);
    void processEvent(curl_socket_t socket, int event);
    void reportEndedTransfers();
    void setTimer(long timeoutMs);
    void startTimer();

    asio::io_context &m_context;
    TransferEndHandler m_onEnded;
    CURLM *m_multi;
    std::unordered_map<curl_socket_t, WatchHandle> m_watches;
    std::size_t m_shutDownCount = 0;
    asio::steady_timer m_timer;
    /** When libcurl requests to be called next. */
    Instant m_nextCallAt = Instant::max();
    /** When the timer expires. A timer that expires too early is not changed: it is started again
     * once it has expired. */
    Instant m_timerExpiresAt = Instant::max();
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Cranberrymount
