#pragma once

#include "State/Time.h"
#include "Transport/ConnectionFault.h"

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Cranberrymount {

/** An HTTP request to send. */
struct HttpCall
{
    std::string method = "GET";
    std::string url;
    std::string body = {};
    std::vector<std::string> headers = {};
    Duration timeout{2000};
    /** Ends the call if no byte is transferred for this long; 0 for no such limit. */
    std::chrono::seconds stallTimeout{0};
    /**
     * True if the request must be sent at most once. It then uses a new connection: libcurl sends a
     * request again if it fails on a reused connection.
     */
    bool atMostOnce = false;
    /**
     * True if the body must be sent at most once. Unlike atMostOnce, the request may use a reused
     * connection; if that fails after part of the body was sent, the outcome is Unknown. A request
     * without a body may still be sent again.
     */
    bool sendsBodyOnce = false;
};

/** The result of a call. */
struct HttpResult
{
    enum Outcome {
        /** A whole response was received. */
        Answered,
        /** No byte of the request was sent. */
        NotSent,
        /** At least part of the request was sent, but no whole response was received. */
        Unknown,
    };
    Outcome outcome = NotSent;
    int status = 0;
    std::string body;
    std::string contentType;
    std::string error;
    /** Other than None, the server may have no connection left for this client. */
    ConnectionFault connectionFault = ConnectionFault::None;
    /** The response arrived on a connection that was open before the call. */
    bool reusedConnection = false;

    bool isOk() const { return outcome == Answered && status >= 200 && status < 300; }
};

/** An HTTP client based on libcurl; keeps connections open for reuse. */
class HttpClient
{
public:
    using Callback = std::function<void(HttpResult)>;

    static constexpr std::chrono::seconds DefaultMaxIdleTime{118};

    /** @param maxHostConnections limit on open connections to one address; 0 for no limit. */
    explicit HttpClient(std::size_t maxHostConnections = 0);
    /**
     * Uses the thread that runs @p context instead of a thread of its own, also for the callbacks:
     * on a node with a fraction of a processor, thread switches cost as much as the calls.
     *
     * @param maxIdleTime connections that are not used for longer are closed
     */
    HttpClient(asio::io_context &context, std::size_t maxHostConnections,
               std::chrono::seconds maxIdleTime = DefaultMaxIdleTime);
    ~HttpClient();

    /** Sends @p call; @p callback runs on the client's thread and must not block. */
    void send(HttpCall call, Callback callback);

    /** Aborts all calls and closes all connections. The outcome of an aborted call is NotSent or
     * Unknown. */
    void closeConnections();

    /** @return the number of open connections; only on the client's thread. */
    std::size_t connectionCount() const;

    /** Ends the client's own thread, if it has one; no callback runs after that. */
    void stop();

    /** Sends @p call and blocks until its result; not for clients on another's context. */
    HttpResult sendAndWait(HttpCall call);

    /**
     * Simulates a network partition: calls to URLs that begin with one of @p prefixes end as not
     * sent. Calls in flight continue. For failure tests; the settings must allow it.
     */
    void blockPrefixes(std::vector<std::string> prefixes);

private:
    struct OwnLoop;
    struct Private;
    /** Destroyed after m_private, which uses it; null if the client works on another's context. */
    std::unique_ptr<OwnLoop> m_ownLoop;
    std::unique_ptr<Private> m_private;
};

} // namespace Cranberrymount
