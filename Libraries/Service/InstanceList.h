#pragma once

#include "State/Worker.h"
#include "Transport/HttpClient.h"
#include "Transport/TimerService.h"

#include <asio/io_context.hpp>

#include <functional>
#include <string>
#include <vector>

namespace Cranberrymount {

/** Polls the platform's list of worker instances, which lags behind their actual state. */
class InstanceList
{
public:
    /** Is called with each newer version of the list. */
    using OnChange = std::function<void(InstanceListVersion, const std::vector<WorkerInfo> &)>;

    InstanceList(HttpClient &client, asio::io_context &control, TimerService &timers,
                 std::string url, Duration period, OnChange onChange);

    /** Starts polling; the next poll begins one period after each response. */
    void start();
    const std::vector<WorkerInfo> &workers() const { return m_workers; }
    InstanceListVersion version() const { return m_version; }

private:
    void poll();
    void handleResponse(const HttpResult &result);

    HttpClient &m_client;
    asio::io_context &m_control;
    TimerService &m_timers;
    std::string m_url;
    Duration m_period;
    OnChange m_onChange;
    InstanceListVersion m_version;
    std::vector<WorkerInfo> m_workers;
};

} // namespace Cranberrymount
