#include "Service/InstanceList.h"

#include "Protocol/Json.h"

#include <asio/post.hpp>
#include <glog/logging.h>

namespace Cranberrymount {

namespace {

constexpr int NotModified = 304;
constexpr Duration ListTimeout{1000};

} // namespace

InstanceList::InstanceList(HttpClient &client, asio::io_context &control, TimerService &timers,
                           std::string url, Duration period, OnChange onChange)
    : m_client(client)
    , m_control(control)
    , m_timers(timers)
    , m_url(std::move(url))
    , m_period(period)
    , m_onChange(std::move(onChange))
{
}

void InstanceList::start()
{
    poll();
}

void InstanceList::poll()
{
    HttpCall call;
    call.url = m_url + "?since=" + std::to_string(m_version.value());
    call.timeout = ListTimeout;
    m_client.send(std::move(call), [this](HttpResult result) {
        asio::post(m_control, [this, result = std::move(result)] { handleResponse(result); });
    });
}

void InstanceList::handleResponse(const HttpResult &result)
{
    m_timers.after(m_period, [this] { poll(); });
    if (!result.isOk() || result.status == NotModified)
        return;
    try {
        const Json json = parseJson(result.body);
        const InstanceListVersion version(json.at("version").get<uint64_t>());
        if (version <= m_version)
            return;
        m_workers = json.at("workers").get<std::vector<WorkerInfo>>();
        m_version = version;
    } catch (const std::exception &error) {
        LOG(ERROR) << "event=instance_list_malformed error=\"" << error.what() << "\"";
        return;
    }
    m_onChange(m_version, m_workers);
}

} // namespace Cranberrymount
