#pragma once

#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <chrono>
#include <map>
#include <mutex>
#include <string>

namespace Cranberrymount {

/** Counters, gauges and latency quantiles of one process; safe to use from any thread. */
class Metrics
{
public:
    /** Adds @p by to the counter @p name. */
    void count(const std::string &name, double by = 1);
    /** Sets the gauge @p name. */
    void set(const std::string &name, double value);
    /** Adds one latency to the summary @p name, which has the quantiles 0.5, 0.9 and 0.99. */
    void observe(const std::string &name, std::chrono::steady_clock::duration latency);

    /** @return all metrics in the Prometheus text format, latencies in seconds. */
    std::string prometheusText() const;

private:
    using Quantiles = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                   boost::accumulators::tag::extended_p_square_quantile>>;

    mutable std::mutex m_mutex;
    std::map<std::string, double> m_counters;
    std::map<std::string, double> m_gauges;
    std::map<std::string, Quantiles> m_latencies;
};

} // namespace Cranberrymount
