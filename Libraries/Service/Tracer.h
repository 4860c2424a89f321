#pragma once

#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace Cranberrymount {

/** One operation in the course of a request, as in OpenTelemetry. */
struct Span
{
    std::string traceId;
    std::string spanId;
    std::string parentId;
    std::string name;
    uint64_t startNanos = 0;
    uint64_t endNanos = 0;
    std::map<std::string, std::string> attributes;

    /** @return the W3C traceparent header for calls made on behalf of this span. */
    std::string traceparent() const;
};

/** Creates spans and keeps the most recently ended ones; safe to use from any thread. */
class Tracer
{
public:
    explicit Tracer(std::string service);

    /** Begins a span as a child of @p traceparent; in a new trace if that is empty or malformed. */
    Span begin(const std::string &name, const std::string &traceparent);
    /** Ends @p span and keeps it. */
    void end(Span span);
    /** @return a random identifier of @p bytes bytes, in hex. */
    std::string randomHex(std::size_t bytes);

    /** @return the kept spans of one trace, as JSON. Spans of refused requests are kept separately
     * from the others and are therefore usually kept longer. */
    std::string traceJson(const std::string &traceId) const;

    /** @return all kept spans in the JSON encoding of OTLP. */
    std::string exportJson() const;

private:
    std::string m_service;
    mutable std::mutex m_mutex;
    std::deque<Span> m_ended;
    std::deque<Span> m_refused;
};

} // namespace Cranberrymount
