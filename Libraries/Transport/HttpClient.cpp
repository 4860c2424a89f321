#include "Transport/HttpClient.h"

#include "Transport/CurlLoop.h"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <cerrno>
#include <future>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace Cranberrymount {

namespace {

constexpr long ConnectTimeoutMs = 500;
constexpr std::size_t MaxIdleHandles = 256;
constexpr Duration IdleCheckInterval{1000};

/** A call with its callback and the result so far. */
struct Exchange
{
    HttpCall call;
    HttpClient::Callback callback;
    HttpResult result;
    curl_slist *headers = nullptr;
    /** Bytes of the body that libcurl has read, if the body must be sent at most once. */
    std::size_t bodyBytesRead = 0;

    ~Exchange() { curl_slist_free_all(headers); }
};

std::size_t collectBody(char *data, std::size_t size, std::size_t count, void *userData)
{
    static_cast<Exchange *>(userData)->result.body.append(data, size * count);
    return size * count;
}

std::size_t readBody(char *buffer, std::size_t size, std::size_t count, void *userData)
{
    Exchange &exchange = *static_cast<Exchange *>(userData);
    const std::size_t copied =
        exchange.call.body.copy(buffer, size * count, exchange.bodyBytesRead);
    exchange.bodyBytesRead += copied;
    return copied;
}

/** libcurl rewinds a body of which it has read a part before it sends the request again. */
int refuseRewind(void *, curl_off_t, int)
{
    return CURL_SEEKFUNC_FAIL;
}

void configureBody(CURL *handle, Exchange &exchange)
{
    const std::string &body = exchange.call.body;
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
    if (!exchange.call.sendsBodyOnce || body.empty()) {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body.data());
        return;
    }
    curl_easy_setopt(handle, CURLOPT_POST, 1L);
    curl_easy_setopt(handle, CURLOPT_READFUNCTION, &readBody);
    curl_easy_setopt(handle, CURLOPT_READDATA, &exchange);
    curl_easy_setopt(handle, CURLOPT_SEEKFUNCTION, &refuseRewind);
}

void configure(CURL *handle, Exchange &exchange)
{
    const HttpCall &call = exchange.call;
    curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, ConnectTimeoutMs);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
    if (call.stallTimeout.count() > 0) {
        curl_easy_setopt(handle, CURLOPT_LOW_SPEED_LIMIT, 1L);
        curl_easy_setopt(handle, CURLOPT_LOW_SPEED_TIME,
                         static_cast<long>(call.stallTimeout.count()));
    }
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, call.atMostOnce ? 1L : 0L);
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &collectBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &exchange);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    if (!call.body.empty() || call.method != "GET")
        configureBody(handle, exchange);
    exchange.headers = curl_slist_append(exchange.headers, "Expect:");
    exchange.headers = curl_slist_append(exchange.headers, "Accept:");
    exchange.headers = curl_slist_append(exchange.headers, "Content-Type: application/json");
    for (const std::string &header : call.headers)
        exchange.headers = curl_slist_append(exchange.headers, header.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, exchange.headers);
}

/** @return what the server did with a connection that was opened for a call that failed. */
ConnectionFault connectionFault(CURL *handle, CURLcode code, bool isSent)
{
    long systemError = 0;
    long newConnections = 0;
    curl_easy_getinfo(handle, CURLINFO_OS_ERRNO, &systemError);
    curl_easy_getinfo(handle, CURLINFO_NUM_CONNECTS, &newConnections);
    if (code == CURLE_COULDNT_CONNECT) {
        const bool isRefused = systemError == ECONNREFUSED || systemError == ECONNRESET;
        if (!isRefused)
            return ConnectionFault::None;
        // libcurl may have sent the request on a reused connection before it opened this one.
        return isSent ? ConnectionFault::Reset : ConnectionFault::Refused;
    }
    const bool isEndedByPeer =
        code == CURLE_SEND_ERROR || code == CURLE_RECV_ERROR || code == CURLE_GOT_NOTHING;
    if (newConnections == 0 || !isEndedByPeer)
        return ConnectionFault::None;
    return isSent ? ConnectionFault::Reset : ConnectionFault::Refused;
}

HttpResult makeResult(CURL *handle, CURLcode code, Exchange &exchange)
{
    HttpResult result = std::move(exchange.result);
    if (code == CURLE_OK) {
        long status = 0;
        long newConnections = 0;
        char *contentType = nullptr;
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
        curl_easy_getinfo(handle, CURLINFO_CONTENT_TYPE, &contentType);
        curl_easy_getinfo(handle, CURLINFO_NUM_CONNECTS, &newConnections);
        result.outcome = HttpResult::Answered;
        result.reusedConnection = newConnections == 0;
        result.status = static_cast<int>(status);
        result.contentType = contentType ? contentType : "";
        return result;
    }
    long sentBytes = 0;
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &sentBytes);
    result.outcome = sentBytes == 0 ? HttpResult::NotSent : HttpResult::Unknown;
    result.error = curl_easy_strerror(code);
    result.connectionFault = connectionFault(handle, code, sentBytes > 0);
    return result;
}

} // namespace

struct HttpClient::Private
{
    Private(asio::io_context &context, std::size_t maxHostConnections,
            std::chrono::seconds maxIdleTime)
        : context(context)
        , maxIdleTime(maxIdleTime)
        , loop(context, maxHostConnections,
               [this](CURL *handle, CURLcode code) { completeTransfer(handle, code); })
        , idleTimer(context)
    {
    }
    ~Private();

    asio::io_context &context;
    std::chrono::seconds maxIdleTime;
    std::unordered_map<CURL *, std::unique_ptr<Exchange>> active;
    std::vector<CURL *> idleHandles;
    CurlLoop loop;
    std::mutex mutex;
    std::vector<std::unique_ptr<Exchange>> queued;
    std::vector<std::string> blockedPrefixes;
    asio::steady_timer idleTimer;
    bool isIdleTimerRunning = false;

    void startQueued();
    void abortAll();
    /** Closes connections that have been idle for too long, now and as long as there are any. */
    void closeIdleConnections();
    void completeTransfer(CURL *handle, CURLcode code);
    bool isBlocked(const std::string &url);
};

HttpClient::Private::~Private()
{
    for (auto &[handle, exchange] : active) {
        loop.remove(handle);
        curl_easy_cleanup(handle);
    }
    for (CURL *handle : idleHandles)
        curl_easy_cleanup(handle);
}

bool HttpClient::Private::isBlocked(const std::string &url)
{
    for (const std::string &prefix : blockedPrefixes) {
        if (url.starts_with(prefix))
            return true;
    }
    return false;
}

void HttpClient::Private::startQueued()
{
    std::vector<std::unique_ptr<Exchange>> batch;
    {
        const std::lock_guard lock(mutex);
        batch.swap(queued);
    }
    for (auto &exchange : batch) {
        CURL *handle = nullptr;
        if (idleHandles.empty()) {
            handle = curl_easy_init();
        } else {
            handle = idleHandles.back();
            idleHandles.pop_back();
        }
        configure(handle, *exchange);
        curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, static_cast<long>(maxIdleTime.count()));
        active.emplace(handle, std::move(exchange));
        loop.add(handle);
    }
    if (!isIdleTimerRunning)
        closeIdleConnections();
}

void HttpClient::Private::closeIdleConnections()
{
    loop.shutDownIdle(std::chrono::steady_clock::now() - maxIdleTime);
    isIdleTimerRunning = !active.empty() || loop.connectionCount() > 0;
    if (!isIdleTimerRunning)
        return;
    idleTimer.expires_after(IdleCheckInterval);
    idleTimer.async_wait([this](const asio::error_code &error) {
        if (!error)
            closeIdleConnections();
    });
}

void HttpClient::Private::abortAll()
{
    while (!active.empty()) {
        CURL *handle = active.begin()->first;
        loop.remove(handle);
        completeTransfer(handle, CURLE_ABORTED_BY_CALLBACK);
    }
    loop.shutDownIdle(Instant::max());
}

void HttpClient::Private::completeTransfer(CURL *handle, CURLcode code)
{
    const auto found = active.find(handle);
    const std::unique_ptr<Exchange> exchange = std::move(found->second);
    active.erase(found);
    HttpResult result = makeResult(handle, code, *exchange);
    if (idleHandles.size() < MaxIdleHandles) {
        curl_easy_reset(handle);
        idleHandles.push_back(handle);
    } else {
        curl_easy_cleanup(handle);
    }
    exchange->callback(std::move(result));
}

/** The event loop and thread of a client that does not work on another's context. */
struct HttpClient::OwnLoop
{
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> workGuard =
        asio::make_work_guard(context);
    std::thread thread;
};

HttpClient::HttpClient(std::size_t maxHostConnections)
    : m_ownLoop(std::make_unique<OwnLoop>())
    , m_private(
          std::make_unique<Private>(m_ownLoop->context, maxHostConnections, DefaultMaxIdleTime))
{
    m_ownLoop->thread = std::thread([this] { m_ownLoop->context.run(); });
}

HttpClient::HttpClient(asio::io_context &context, std::size_t maxHostConnections,
                       std::chrono::seconds maxIdleTime)
    : m_private(std::make_unique<Private>(context, maxHostConnections, maxIdleTime))
{
}

void HttpClient::closeConnections()
{
    // Deferred: libcurl must not be called from within one of its callbacks.
    asio::post(m_private->context, [this] { m_private->abortAll(); });
}

std::size_t HttpClient::connectionCount() const
{
    return m_private->loop.connectionCount();
}

void HttpClient::stop()
{
    if (!m_ownLoop || !m_ownLoop->thread.joinable())
        return;
    m_ownLoop->context.stop();
    m_ownLoop->thread.join();
}

HttpClient::~HttpClient()
{
    stop();
}

void HttpClient::send(HttpCall call, Callback callback)
{
    auto exchange = std::make_unique<Exchange>();
    exchange->call = std::move(call);
    exchange->callback = std::move(callback);
    {
        const std::lock_guard lock(m_private->mutex);
        if (!m_private->isBlocked(exchange->call.url)) {
            m_private->queued.push_back(std::move(exchange));
            if (m_private->queued.size() == 1)
                asio::post(m_private->context, [this] { m_private->startQueued(); });
            return;
        }
    }
    exchange->callback({HttpResult::NotSent, 0, {}, {}, "blocked by a fault rule"});
}

HttpResult HttpClient::sendAndWait(HttpCall call)
{
    std::promise<HttpResult> promise;
    send(std::move(call), [&promise](HttpResult result) { promise.set_value(std::move(result)); });
    return promise.get_future().get();
}

void HttpClient::blockPrefixes(std::vector<std::string> prefixes)
{
    const std::lock_guard lock(m_private->mutex);
    m_private->blockedPrefixes = std::move(prefixes);
}

} // namespace Cranberrymount
