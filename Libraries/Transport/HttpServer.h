#pragma once

#include "State/Time.h"
#include "State/Worker.h"
#include "Transport/RequestMemoryBudget.h"

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace Cranberrymount {

/** A whole request, as it was received. */
class HttpRequest
{
public:
    std::string method;
    /** Path without the query, not decoded. */
    std::string path;
    std::map<std::string, std::string> query;
    std::string body;

    /** @return the header's value, or an empty string if it is absent; @p name ignores case. */
    std::string header(std::string_view name) const;
    /** @return the query parameter as a number, or @p fallback if it is absent or malformed. */
    int64_t queryNumber(const std::string &name, int64_t fallback) const;

    /** Headers by lower-case name. */
    std::map<std::string, std::string, std::less<>> headers;
};

/** A response to send. */
struct HttpResponse
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::map<std::string, std::string> headers = {};
    /** Closes the connection after the response, so that the client's next request may reach
     * another server. */
    bool closesConnection = false;
};

/** Sends the response to a request; may be called once, from any thread. */
using HttpResponder = std::function<void(HttpResponse)>;

/** Limits that keep one client from degrading the service for the others. */
struct HttpServerLimits
{
    std::size_t threads = 2;
    /** Longest body of a request. */
    std::size_t bodyBytes = 1'048'576;
    /** Number of connections that are accepted; further ones wait until others are closed. The
     * default is above each budget's limit, which closes connections instead. */
    std::size_t connections = 1'048'576;
    /** What the connections of all servers with the same budget may hold; null for a budget of its
     * own with default limits. */
    std::shared_ptr<RequestMemoryBudget> budget = nullptr;
    /** Longest time in which a client may send one request. */
    Duration readTimeout{10'000};
    /** Longest time that a handler may take to respond. */
    Duration handleTimeout{120'000};
};

/** An HTTP/1.1 server based on RESTinio; handlers run on its own threads by default. */
class HttpServer
{
public:
    using Handler = std::function<void(HttpRequest, HttpResponder)>;

    /** @throws TransportError if the address cannot be bound. */
    HttpServer(const Endpoint &address, const HttpServerLimits &limits, Handler handler);
    /**
     * Uses the thread that runs @p context, also for the handlers; limits.threads is not used.
     * The constructor runs the context until the server listens on @p address.
     * @throws TransportError if the address cannot be bound.
     */
    HttpServer(asio::io_context &context, const Endpoint &address, const HttpServerLimits &limits,
               Handler handler);
    ~HttpServer();

    /** Closes each connection after its next response. */
    void closeAfterResponses();
    /** Accepts no new connections; requests on open ones still reach the handler, and each of these
     * connections is closed after its next response. */
    void stopAccepting();
    /** @return the number of requests that were passed to the handler and have no response yet. */
    std::size_t requestsInFlight() const;
    /** @return the number of responses that are not completely passed to the operating system yet,
     * because their clients do not read; none for connections that have ended. */
    std::size_t responsesUnwritten() const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace Cranberrymount
