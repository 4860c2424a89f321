#pragma once

#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace Cranberrymount {

/** One hop of one request. */
struct Span
{
    std::string traceId;
    std::string spanId;
    std::string parentId;
    std::string name;
    uint64_t startNanos = 0;
    uint64_t endNanos = 0;
    std::map<std::string, std::string> attributes;

    /** @return the W3C traceparent to send with what this span causes. */
    std::string traceparent() const;
};

/** Makes spans and keeps the latest ended ones; safe to use from any thread. */
class Tracer
{
public:
    explicit Tracer(std::string service);

    /** Begins a span under @p traceparent, or a new trace if that is empty or malformed. */
    Span begin(const std::string &name, const std::string &traceparent);
    void end(Span span);
    /** @return a random identifier of @p bytes bytes in hex. */
    std::string randomHex(std::size_t bytes);

    /** @return what this service remembers of one trace, as JSON; refusals are kept longest. */
    std::string traceJson(const std::string &traceId) const;

    /** @return the kept spans in OTLP's JSON form. */
    std::string exportJson() const;

private:
    std::string m_service;
    mutable std::mutex m_mutex;
    std::deque<Span> m_ended;
    std::deque<Span> m_refused;
};

} // namespace Cranberrymount
