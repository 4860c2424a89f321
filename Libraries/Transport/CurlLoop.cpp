#include "Transport/CurlLoop.h"

#include "Transport/TransportError.h"

#include <asio/post.hpp>

#include <sys/socket.h>
#include <unistd.h>

namespace Cranberrymount {

namespace {

/** Connections kept open for reuse: a leader has a long poll and some commands in flight to each of
 * several hundred workers. The number stays below the file descriptor limit of the smallest nodes.
 */
constexpr long MaxIdleConnections = 2048;

} // namespace

CurlLoop::CurlLoop(asio::io_context &context, std::size_t maxHostConnections,
                   TransferEndHandler onEnded)
    : m_context(context)
    , m_onEnded(std::move(onEnded))
    , m_timer(context)
{
    static const CURLcode Initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
    m_multi = Initialized == CURLE_OK ? curl_multi_init() : nullptr;
    if (!m_multi)
        throw TransportError("libcurl cannot be initialized");
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, MaxIdleConnections);
    curl_multi_setopt(m_multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      static_cast<long>(maxHostConnections));
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &CurlLoop::onSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &CurlLoop::onTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
}

CurlLoop::~CurlLoop()
{
    // Closes the idle connections; libcurl calls onClose() for each of them.
    curl_multi_cleanup(m_multi);
}

void CurlLoop::add(CURL *transfer)
{
    curl_easy_setopt(transfer, CURLOPT_CLOSESOCKETFUNCTION, &CurlLoop::onClose);
    curl_easy_setopt(transfer, CURLOPT_CLOSESOCKETDATA, this);
    // libcurl requests to be called at once, through onTimer().
    curl_multi_add_handle(m_multi, transfer);
}

void CurlLoop::remove(CURL *transfer)
{
    curl_multi_remove_handle(m_multi, transfer);
}

int CurlLoop::onSocket(CURL *, curl_socket_t socket, int wantedEvents, void *self, void *)
{
    static_cast<CurlLoop *>(self)->watch(socket,
                                         wantedEvents == CURL_POLL_REMOVE ? 0 : wantedEvents);
    return 0;
}

int CurlLoop::onTimer(CURLM *, long timeoutMs, void *self)
{
    static_cast<CurlLoop *>(self)->setTimer(timeoutMs);
    return 0;
}

int CurlLoop::onClose(void *self, curl_socket_t socket)
{
    CurlLoop &loop = *static_cast<CurlLoop *>(self);
    auto &watches = loop.m_watches;
    const auto found = watches.find(socket);
    // libcurl may close a connection before it has asked for any of its events.
    if (found == watches.end())
        return ::close(socket);
    asio::error_code error;
    found->second->wantedEvents = 0;
    loop.m_shutDownCount -= found->second->isShutDown ? 1 : 0;
    found->second->descriptor.close(error);
    watches.erase(found);
    return error ? 1 : 0;
}

void CurlLoop::watch(curl_socket_t socket, int wantedEvents)
{
    auto found = m_watches.find(socket);
    if (found == m_watches.end()) {
        if (wantedEvents == 0)
            return;
        found = m_watches.emplace(socket, std::make_shared<Watch>(m_context, socket)).first;
    }
    if (wantedEvents == 0)
        found->second->idleSince = std::chrono::steady_clock::now();
    found->second->wantedEvents = wantedEvents;
    waitForEvents(found->second, socket);
}

void CurlLoop::shutDownIdle(Instant lastUse)
{
    for (const auto &[socket, watch] : m_watches) {
        if (watch->wantedEvents != 0 || watch->isShutDown || watch->idleSince > lastUse)
            continue;
        ::shutdown(socket, SHUT_RDWR);
        watch->isShutDown = true;
        ++m_shutDownCount;
    }
}

/** Starts a wait for each wanted event of the socket that has no wait yet. */
void CurlLoop::waitForEvents(const WatchHandle &watch, curl_socket_t socket)
{
    const auto startWait = [&](bool Watch::*isAwaiting, int event, auto waitType) {
        if ((watch->wantedEvents & event) == 0 || (*watch).*isAwaiting)
            return;
        (*watch).*isAwaiting = true;
        watch->descriptor.async_wait(
            waitType,
            [this, watch, socket, isAwaiting, event,
             alive = std::weak_ptr(m_alive)](const asio::error_code &error) {
                (*watch).*isAwaiting = false;
                if (error || alive.expired() || (watch->wantedEvents & event) == 0)
                    return;
                processEvent(socket, event == CURL_POLL_IN ? CURL_CSELECT_IN : CURL_CSELECT_OUT);
                if (watch->descriptor.is_open())
                    waitForEvents(watch, socket);
            });
    };
    startWait(&Watch::isAwaitingRead, CURL_POLL_IN, asio::posix::descriptor_base::wait_read);
    startWait(&Watch::isAwaitingWrite, CURL_POLL_OUT, asio::posix::descriptor_base::wait_write);
}

void CurlLoop::processEvent(curl_socket_t socket, int event)
{
    int running = 0;
    curl_multi_socket_action(m_multi, socket, event, &running);
    reportEndedTransfers();
}

void CurlLoop::reportEndedTransfers()
{
    int remaining = 0;
    while (const CURLMsg *message = curl_multi_info_read(m_multi, &remaining)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        CURL *transfer = message->easy_handle;
        const CURLcode code = message->data.result;
        curl_multi_remove_handle(m_multi, transfer);
        m_onEnded(transfer, code);
    }
}

void CurlLoop::setTimer(long timeoutMs)
{
    if (timeoutMs == 0) {
        m_nextCallAt = Instant::max();
        // libcurl must not be called from within its own callback.
        return asio::post(m_context, [this, alive = std::weak_ptr(m_alive)] {
            if (!alive.expired())
                processEvent(CURL_SOCKET_TIMEOUT, 0);
        });
    }
    m_nextCallAt =
        timeoutMs < 0 ? Instant::max() : std::chrono::steady_clock::now() + Duration(timeoutMs);
    if (m_nextCallAt < m_timerExpiresAt)
        startTimer();
}

void CurlLoop::startTimer()
{
    m_timerExpiresAt = m_nextCallAt;
    m_timer.expires_at(m_timerExpiresAt);
    m_timer.async_wait([this, alive = std::weak_ptr(m_alive)](const asio::error_code &error) {
        if (error || alive.expired())
            return;
        m_timerExpiresAt = Instant::max();
        if (m_nextCallAt <= std::chrono::steady_clock::now()) {
            m_nextCallAt = Instant::max();
            processEvent(CURL_SOCKET_TIMEOUT, 0);
        }
        // libcurl does not call onTimer() again if its next time has not changed.
        if (m_nextCallAt < m_timerExpiresAt)
            startTimer();
    });
}

} // namespace Cranberrymount
