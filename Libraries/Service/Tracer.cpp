#include "Service/Tracer.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <pcg_extras.hpp>
#include <pcg_random.hpp>

#include <chrono>
#include <random>

namespace Cranberrymount {

namespace {

constexpr std::size_t MaxKeptSpans = 2000;
constexpr std::size_t TraceparentLength = 55;
constexpr std::size_t TraceIdOffset = 3;
constexpr std::size_t TraceIdLength = 32;
constexpr std::size_t SpanIdOffset = 36;
constexpr std::size_t SpanIdLength = 16;

uint64_t nowNanos()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::nanoseconds>(now).count();
}

nlohmann::json encodeSpan(const Span &span)
{
    nlohmann::json attributes = nlohmann::json::array();
    for (const auto &[key, value] : span.attributes)
        attributes.push_back({{"key", key}, {"value", {{"stringValue", value}}}});
    return {{"traceId", span.traceId},
            {"spanId", span.spanId},
            {"parentSpanId", span.parentId},
            {"name", span.name},
            {"startTimeUnixNano", std::to_string(span.startNanos)},
            {"endTimeUnixNano", std::to_string(span.endNanos)},
            {"attributes", attributes}};
}

} // namespace

std::string Span::traceparent() const
{
    return "00-" + traceId + "-" + spanId + "-01";
}

Tracer::Tracer(std::string service)
    : m_service(std::move(service))
{
}

std::string Tracer::randomHex(std::size_t bytes)
{
    thread_local pcg64_fast random = [] {
        std::random_device device;
        return pcg64_fast((static_cast<uint64_t>(device()) << 32U) | device());
    }();
    std::string hex;
    while (hex.size() < bytes * 2)
        hex += fmt::format("{:016x}", static_cast<uint64_t>(random()));
    hex.resize(bytes * 2);
    return hex;
}

Span Tracer::begin(const std::string &name, const std::string &traceparent)
{
    Span span;
    span.name = name;
    span.startNanos = nowNanos();
    span.spanId = randomHex(SpanIdLength / 2);
    if (traceparent.size() == TraceparentLength) {
        span.traceId = traceparent.substr(TraceIdOffset, TraceIdLength);
        span.parentId = traceparent.substr(SpanIdOffset, SpanIdLength);
    } else {
        span.traceId = randomHex(TraceIdLength / 2);
    }
    return span;
}

void Tracer::end(Span span)
{
    span.endNanos = nowNanos();
    const auto outcome = span.attributes.find("outcome");
    const bool isRefused = outcome != span.attributes.end() && outcome->second != "answered";
    const std::lock_guard lock(m_mutex);
    auto &kept = isRefused ? m_refused : m_ended;
    kept.push_back(std::move(span));
    if (kept.size() > MaxKeptSpans)
        kept.pop_front();
}

std::string Tracer::traceJson(const std::string &traceId) const
{
    using nlohmann::json;
    constexpr uint64_t NanosPerMicro = 1000;
    json hops = json::array();
    const std::lock_guard lock(m_mutex);
    for (const auto *kept : {&m_ended, &m_refused}) {
        for (const Span &span : *kept) {
            if (span.traceId == traceId) {
                hops.push_back({{"service", m_service},
                                {"hop", span.name},
                                {"begun_ns", span.startNanos},
                                {"took_us", (span.endNanos - span.startNanos) / NanosPerMicro},
                                {"facts", span.attributes}});
            }
        }
    }
    return hops.dump();
}

std::string Tracer::exportJson() const
{
    using nlohmann::json;
    json spans = json::array();
    {
        const std::lock_guard lock(m_mutex);
        for (const auto *kept : {&m_ended, &m_refused}) {
            for (const Span &span : *kept)
                spans.push_back(encodeSpan(span));
        }
    }
    const json resource = {
        {"attributes", {{{"key", "service.name"}, {"value", {{"stringValue", m_service}}}}}}};
    const json scope = {{"scope", {{"name", "cranberrymount"}}}, {"spans", spans}};
    return json{{"resourceSpans", {{{"resource", resource}, {"scopeSpans", {scope}}}}}}.dump();
}

} // namespace Cranberrymount
