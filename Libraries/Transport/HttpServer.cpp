#include "Transport/HttpServer.h"

#include "Transport/BudgetedSocket.h"
#include "Transport/TransportError.h"

#include <asio/steady_timer.hpp>
#include <fmt/format.h>
#include <http_parser.h>
#include <nlohmann/json.hpp>
#include <restinio/all.hpp>

#include <atomic>
#include <charconv>
#include <future>

namespace Cranberrymount {

namespace {

struct ServerTraits
    : public restinio::traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t,
                                restinio::default_request_handler_t, restinio::default_strand_t,
                                BudgetedSocket>
{
    static constexpr bool use_connection_count_limiter = true; // NOLINT: RESTinio's name
};

using RestinioServer = restinio::http_server_t<ServerTraits>;

std::string lowerCase(std::string text)
{
    for (char &character : text)
        character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
    return text;
}

HttpRequest convert(const restinio::request_handle_t &request)
{
    HttpRequest httpRequest;
    const auto &header = request->header();
    httpRequest.method = std::string(header.method().c_str());
    httpRequest.path = std::string(header.path());
    const auto query =
        restinio::parse_query<restinio::parse_query_traits::javascript_compatible>(header.query());
    for (const auto &item : query)
        httpRequest.query.emplace(std::string(item.first), std::string(item.second));
    for (const auto &field : header)
        httpRequest.headers[lowerCase(field.name())] = field.value();
    httpRequest.body = request->body();
    return httpRequest;
}

/** A request that has no response yet. It keeps the server alive, since its connection uses the
 * server's event loop until it is closed. */
struct PendingRequest
{
    std::shared_ptr<RestinioServer> server;
    restinio::request_handle_t request;
};

using SharedCount = std::shared_ptr<std::atomic<std::size_t>>;

using RequestHandle = restinio::request_handle_t;

/** @param unwritten is higher by one until the response is written or its connection has ended */
void send(const RequestHandle &request, const HttpResponse &httpResponse, bool closing,
          const SharedCount &unwritten, const RequestMemoryBudget::AccountHandle &account)
{
    auto response = request->create_response(restinio::http_status_line_t(
        restinio::http_status_code_t(static_cast<uint16_t>(httpResponse.status)),
        httpResponse.status < 400 ? "OK" : "Error"));
    response.append_header(restinio::http_field::content_type, httpResponse.contentType);
    for (const auto &[name, value] : httpResponse.headers)
        response.append_header(name, value);
    if (closing)
        response.connection_close();
    response.set_body(httpResponse.body);
    ++*unwritten;
    if (account)
        account->beginResponse(httpResponse.body.size());
    response.done([unwritten, account](const asio::error_code &) {
        --*unwritten;
        if (account)
            account->endResponse();
    });
}

/** Promises nothing about the job: an earlier try of the same request may have been accepted. */
constexpr int GatewayTimeout = 504;
/** Of the whole head of a request; its fields may have 16,384 bytes, its target 8,192. */
constexpr uint32_t MaxHeadBytes = 32'768;
constexpr std::size_t MaxFieldBytes = 16'385;
/** Enough for a usual request in one read; each open connection has such a buffer. */
constexpr std::size_t ReadBufferBytes = 8'192;
/** MaxHeadBytes limits their total size. */
constexpr std::size_t MaxFields = 4096;
constexpr std::chrono::seconds SweepInterval{1};

/** Lets @p budget close connections without progress as long as the caller holds the result. */
std::shared_ptr<asio::steady_timer>
startSweeping(asio::io_context &context, const std::shared_ptr<RequestMemoryBudget> &budget)
{
    struct Sweep
    {
        std::weak_ptr<asio::steady_timer> timer;
        std::shared_ptr<RequestMemoryBudget> budget;

        void wait() const
        {
            const auto held = timer.lock();
            if (!held)
                return;
            held->expires_after(SweepInterval);
            held->async_wait([sweep = *this](const asio::error_code &error) {
                if (error || sweep.timer.expired())
                    return;
                sweep.budget->closeStalled();
                sweep.wait();
            });
        }
    };
    auto timer = std::make_shared<asio::steady_timer>(context);
    Sweep{timer, budget}.wait();
    return timer;
}

} // namespace

std::string HttpRequest::header(std::string_view name) const
{
    const auto found = headers.find(lowerCase(std::string(name)));
    return found == headers.end() ? std::string() : found->second;
}

int64_t HttpRequest::queryNumber(const std::string &name, int64_t fallback) const
{
    const auto found = query.find(name);
    if (found == query.end())
        return fallback;
    int64_t number = 0;
    const char *end = found->second.data() + found->second.size();
    const auto result = std::from_chars(found->second.data(), end, number);
    return result.ec == std::errc() && result.ptr == end ? number : fallback;
}

struct HttpServer::Private
{
    SharedCount inFlight = std::make_shared<std::atomic<std::size_t>>(0);
    SharedCount unwritten = std::make_shared<std::atomic<std::size_t>>(0);
    std::shared_ptr<std::atomic<bool>> closing = std::make_shared<std::atomic<bool>>(false);
    std::shared_ptr<RestinioServer> server;
    std::unique_ptr<restinio::on_pool_runner_t<RestinioServer>> runner;
    std::shared_ptr<asio::steady_timer> sweepTimer;
};

namespace {

/** @return a JSON object that names @p error, which may hold any bytes. */
std::string errorBody(const std::string &error)
{
    const nlohmann::json body = {{"error", error}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/** @return settings with a RESTinio handler that passes whole requests to @p handler. */
restinio::server_settings_t<ServerTraits>
makeSettings(const Endpoint &address, const HttpServerLimits &limits,
             const std::shared_ptr<RequestMemoryBudget> &budget, HttpServer::Handler handler,
             const SharedCount &inFlight, const SharedCount &unwritten,
             const std::shared_ptr<std::atomic<bool>> &closing,
             const std::shared_ptr<std::weak_ptr<RestinioServer>> &self)
{
    // The parser's default is 80 KB for each request; the limit applies to the whole process.
    http_parser_set_max_header_size(MaxHeadBytes);
    const auto handle = [handler = std::move(handler), inFlight, unwritten, closing,
                         self](const RequestHandle &request) {
        const auto account = CurrentAccount::current();
        const auto respond = [pending = PendingRequest{self->lock(), request}, inFlight, unwritten,
                              closing, account](const HttpResponse &httpResponse) {
            send(pending.request, httpResponse, *closing || httpResponse.closesConnection,
                 unwritten, account);
            --*inFlight;
        };
        if (account && !account->beginHandling(request->body().size())) {
            send(request, {GatewayTimeout, errorBody("too many requests are being handled")}, true,
                 unwritten, account);
            return restinio::request_accepted();
        }
        ++*inFlight;
        try {
            handler(convert(request), respond);
        } catch (const std::exception &error) {
            respond({400, errorBody(std::string("request not understood: ") + error.what())});
        }
        return restinio::request_accepted();
    };
    restinio::server_settings_t<ServerTraits> settings;
    settings.socketLimits({budget, limits.bodyBytes});
    settings.address(address.host)
        .port(address.port)
        .request_handler(handle)
        .max_parallel_connections(limits.connections)
        .read_next_http_message_timelimit(limits.readTimeout)
        .handle_request_timeout(limits.handleTimeout)
        .buffer_size(ReadBufferBytes)
        .max_pipelined_requests(1)
        .socket_options_setter(
            [](auto &options) { options.set_option(asio::ip::tcp::no_delay(true)); })
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t()
                                      .max_url_size(8'192)
                                      .max_field_count(MaxFields)
                                      .max_field_name_size(256)
                                      .max_field_value_size(MaxFieldBytes)
                                      .max_body_size(limits.bodyBytes));
    return settings;
}

std::shared_ptr<RequestMemoryBudget> budgetFor(const HttpServerLimits &limits)
{
    return limits.budget ? limits.budget
                         : std::make_shared<RequestMemoryBudget>(RequestMemoryBudget::Limits());
}

} // namespace

HttpServer::HttpServer(const Endpoint &address, const HttpServerLimits &limits, Handler handler)
    : m_private(std::make_unique<Private>())
{
    const auto self = std::make_shared<std::weak_ptr<RestinioServer>>();
    const auto budget = budgetFor(limits);
    auto settings = makeSettings(address, limits, budget, std::move(handler), m_private->inFlight,
                                 m_private->unwritten, m_private->closing, self);
    try {
        m_private->server =
            std::make_shared<RestinioServer>(restinio::own_io_context(), std::move(settings));
        *self = m_private->server;
        m_private->runner = std::make_unique<restinio::on_pool_runner_t<RestinioServer>>(
            limits.threads, *m_private->server);
        std::promise<void> opened;
        m_private->runner->start(
            [&opened]() noexcept { opened.set_value(); },
            [&opened](const std::exception_ptr &error) noexcept { opened.set_exception(error); });
        opened.get_future().get();
        m_private->sweepTimer = startSweeping(m_private->server->io_context(), budget);
    } catch (const std::exception &error) {
        throw TransportError(fmt::format("cannot listen on {}: {}", address.text(), error.what()));
    }
}

HttpServer::HttpServer(asio::io_context &context, const Endpoint &address,
                       const HttpServerLimits &limits, Handler handler)
    : m_private(std::make_unique<Private>())
{
    const auto self = std::make_shared<std::weak_ptr<RestinioServer>>();
    const auto budget = budgetFor(limits);
    auto settings = makeSettings(address, limits, budget, std::move(handler), m_private->inFlight,
                                 m_private->unwritten, m_private->closing, self);
    try {
        m_private->server = std::make_shared<RestinioServer>(restinio::external_io_context(context),
                                                             std::move(settings));
        *self = m_private->server;
        bool isOpen = false;
        std::exception_ptr failure;
        m_private->server->open_async(
            [&isOpen]() noexcept { isOpen = true; },
            [&failure](const std::exception_ptr &error) noexcept { failure = error; });
        while (!isOpen && !failure)
            context.run_one();
        if (failure)
            std::rethrow_exception(failure);
        m_private->sweepTimer = startSweeping(context, budget);
    } catch (const std::exception &error) {
        throw TransportError(fmt::format("cannot listen on {}: {}", address.text(), error.what()));
    }
}

HttpServer::~HttpServer()
{
    if (!m_private->runner)
        return;
    m_private->runner->stop();
    m_private->runner->wait();
}

void HttpServer::closeAfterResponses()
{
    *m_private->closing = true;
}

void HttpServer::stopAccepting()
{
    *m_private->closing = true;
    m_private->server->close_async([] {}, [](const std::exception_ptr &) {});
}

std::size_t HttpServer::requestsInFlight() const
{
    return *m_private->inFlight;
}

std::size_t HttpServer::responsesUnwritten() const
{
    return *m_private->unwritten;
}

} // namespace Cranberrymount
