#pragma once

#include "State/Time.h"
#include "State/Worker.h"

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace Cranberrymount {

/** One request as it came in, whole. */
class HttpIncoming
{
public:
    std::string method;
    /** Path without the query, as it was sent. */
    std::string path;
    std::map<std::string, std::string> query;
    std::string body;

    /** @return the header's value, or an empty string; names match in any case. */
    std::string header(std::string_view name) const;
    /** @return the query parameter as a number, or @p fallback if it is absent or malformed. */
    int64_t queryNumber(const std::string &name, int64_t fallback) const;

    /** Headers by lower-case name. */
    std::map<std::string, std::string, std::less<>> headers;
};

/** One answer to send. */
struct HttpAnswer
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::map<std::string, std::string> headers = {};
    /** Ends the connection, so that the client's next request may reach another server. */
    bool closesConnection = false;
};

/** Sends the answer; may be called once, from any thread. */
using HttpRespond = std::function<void(HttpAnswer)>;

/** Limits that keep one client from harming the others. */
struct HttpServerLimits
{
    std::size_t threads = 2;
    std::size_t bodyBytes = 1'048'576;
    std::size_t connections = 4096;
    /** Longest time in which a client may send one request. */
    Duration readTimeout{10'000};
    /** Longest time that a handler may take to answer. */
    Duration handleTimeout{120'000};
};

/** An HTTP/1.1 server on RESTinio; handlers run on its own threads. */
class HttpServer
{
public:
    using Handler = std::function<void(HttpIncoming, HttpRespond)>;

    /** @throws TransportError if the address cannot be bound. */
    HttpServer(const Endpoint &address, const HttpServerLimits &limits, Handler handler);
    /**
     * Serves on @p context, whose thread then also runs the handlers; limits.threads is not used.
     * Runs the context until the address is open. @throws TransportError as above.
     */
    HttpServer(asio::io_context &context, const Endpoint &address, const HttpServerLimits &limits,
               Handler handler);
    ~HttpServer();

    /** Ends each connection with its next answer. */
    void closeAfterAnswers();
    /** Accepts no further connection; requests on open ones still reach the handler. */
    void stopAccepting();
    /** @return requests that have been handed to the handler and not been answered. */
    std::size_t requestsInFlight() const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace Cranberrymount
