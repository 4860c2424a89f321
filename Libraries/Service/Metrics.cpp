#include "Service/Metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <array>

namespace Cranberrymount {

namespace {

namespace Acc = boost::accumulators;

constexpr std::array<double, 3> ReportedQuantiles{0.5, 0.9, 0.99};
const char *const Prefix = "cranberrymount_";

prometheus::MetricFamily makeFamily(const std::string &name, prometheus::MetricType type)
{
    prometheus::MetricFamily result;
    result.name = Prefix + name;
    result.help = name;
    result.type = type;
    return result;
}

} // namespace

void Metrics::count(const std::string &name, double by)
{
    const std::lock_guard lock(m_mutex);
    m_counters[name] += by;
}

void Metrics::set(const std::string &name, double value)
{
    const std::lock_guard lock(m_mutex);
    m_gauges[name] = value;
}

void Metrics::observe(const std::string &name, std::chrono::steady_clock::duration latency)
{
    const std::lock_guard lock(m_mutex);
    auto found = m_latencies.find(name);
    if (found == m_latencies.end()) {
        Quantiles quantiles(Acc::extended_p_square_probabilities = ReportedQuantiles);
        found = m_latencies.emplace(name, std::move(quantiles)).first;
    }
    found->second(std::chrono::duration<double>(latency).count());
}

std::string Metrics::prometheusText() const
{
    std::vector<prometheus::MetricFamily> families;
    const std::lock_guard lock(m_mutex);
    for (const auto &[name, value] : m_counters) {
        families.push_back(makeFamily(name, prometheus::MetricType::Counter));
        families.back().metric.emplace_back();
        families.back().metric.back().counter.value = value;
    }
    for (const auto &[name, value] : m_gauges) {
        families.push_back(makeFamily(name, prometheus::MetricType::Gauge));
        families.back().metric.emplace_back();
        families.back().metric.back().gauge.value = value;
    }
    for (const auto &[name, quantiles] : m_latencies) {
        families.push_back(makeFamily(name, prometheus::MetricType::Summary));
        families.back().metric.emplace_back();
        auto &summary = families.back().metric.back().summary;
        summary.sample_count = Acc::count(quantiles);
        summary.sample_sum = Acc::sum(quantiles);
        for (const double probability : ReportedQuantiles) {
            const double value = Acc::quantile(quantiles, Acc::quantile_probability = probability);
            summary.quantile.push_back({probability, value});
        }
    }
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace Cranberrymount
