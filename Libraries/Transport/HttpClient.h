#pragma once

#include "State/Time.h"

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Cranberrymount {

/** One call to make. */
struct HttpCall
{
    std::string method = "GET";
    std::string url;
    std::string body = {};
    std::vector<std::string> headers = {};
    Duration timeout{2000};
    /** Ends the call if no byte moves for this long, in whole seconds; 0 for no such limit. */
    std::chrono::seconds stallTimeout{0};
    /**
     * True if the call must leave this process at most once. It then uses a new connection, since
     * a call that dies on a kept one would be sent again by the library.
     */
    bool once = false;
};

/** What became of a call. */
struct HttpResult
{
    enum Outcome {
        /** A whole answer came. */
        Answered,
        /** No byte of the call left this process. */
        NotSent,
        /** Part of the call was sent and no whole answer came. */
        Unknown,
    };
    Outcome outcome = NotSent;
    int status = 0;
    std::string body;
    std::string contentType;
    std::string error;

    bool isOk() const { return outcome == Answered && status >= 200 && status < 300; }
};

/** An HTTP client on libcurl, which keeps connections open. */
class HttpClient
{
public:
    using Callback = std::function<void(HttpResult)>;

    /** @p maxHostConnections bounds the open connections to one address; 0 for no bound. */
    explicit HttpClient(std::size_t maxHostConnections = 0);
    /**
     * Works on @p context, whose thread then also runs the callbacks, instead of a thread of its
     * own: on a node with a fraction of a processor, changes of thread cost as much as the calls.
     */
    HttpClient(asio::io_context &context, std::size_t maxHostConnections);
    ~HttpClient();

    /** Makes @p call; @p callback runs on the client's thread and must not block. */
    void send(HttpCall call, Callback callback);

    /** Ends the client's thread; no callback runs after that. */
    void stop();

    /** Makes @p call and waits for its result; not for clients that work on another's context. */
    HttpResult sendAndWait(HttpCall call);

    /**
     * Refuses calls to URLs that begin with one of @p prefixes, as a cut network would. Open
     * calls go on. For failure tests; settings must allow it.
     */
    void blockPrefixes(std::vector<std::string> prefixes);

private:
    struct OwnLoop;
    struct Private;
    /** Outlives m_private; null if the client works on another's context. */
    std::unique_ptr<OwnLoop> m_ownLoop;
    std::unique_ptr<Private> m_private;
};

} // namespace Cranberrymount
