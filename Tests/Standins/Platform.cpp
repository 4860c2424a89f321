// Stand-in for the platform: the key-value store with leases and watches, and the instance list,
// which can lag behind the real instances.

#include "ServeUntilSignal.h"

#include "Protocol/Json.h"

#include <tclap/CmdLine.h>

#include <deque>
#include <iostream>
#include <mutex>

namespace Cranberrymount {

namespace {

struct StoredValue
{
    std::string value;
    uint64_t revision = 0;
    /** Lease with which the value expires; 0 for none. */
    uint64_t lease = 0;
};

struct Lease
{
    Duration ttl{0};
    Instant expiresAt;
};

/** A request that waits until the value of @p key has a higher revision than @p since. */
struct Watch
{
    std::string key;
    uint64_t since = 0;
    Instant expiresAt;
    HttpResponder respond;
};

/** Faults that a test sets through /admin/faults. */
struct Faults
{
    /** The store answers every request with 503; the instance list still works. */
    bool isDown = false;
    Duration delay{0};
    /** How many of the next writes take effect while their responses are lost. */
    int responsesToLose = 0;
    /** Time until a change becomes visible in the instance list. */
    Duration listLag{0};
    bool isListFrozen = false;
};

/** One version of the instance list. */
struct PublishedInstances
{
    Instant at;
    Json workers;
    uint64_t version = 0;
};

Instant now()
{
    return std::chrono::steady_clock::now();
}

class Platform
{
public:
    void handle(const HttpRequest &request, const HttpResponder &respond);
    void tick();

private:
    HttpResponse read(const std::string &key);
    HttpResponse list(const std::string &prefix);
    HttpResponse write(const std::string &key, const Json &body);
    HttpResponse remove(const std::string &key, uint64_t expected);
    HttpResponse lease(const HttpRequest &request, const std::string &id);
    HttpResponse instances(uint64_t since);
    HttpResponse admin(const HttpRequest &request);
    /** @return the response, or nothing if a watch gets it later. */
    std::optional<HttpResponse> store(const HttpRequest &request, const HttpResponder &respond);
    /** Removes the lease and all values that depend on it. */
    void endLease(uint64_t id);
    Json entry(const std::string &key, const StoredValue &value) const;
    /** Answers the watches that have expired and, with @p isChanged, those whose value changed. */
    void serveWatches(bool isChanged);

    std::mutex m_mutex;
    std::map<std::string, StoredValue> m_values;
    std::map<uint64_t, Lease> m_leases;
    std::vector<Watch> m_watches;
    std::deque<std::pair<Instant, std::function<void()>>> m_delayedResponses;
    uint64_t m_revision = 0;
    uint64_t m_nextLease = 1;
    Faults m_faults;
    std::map<std::string, Json> m_workers;
    /** The visible version first, then the versions that are not visible yet. */
    std::deque<PublishedInstances> m_publishedInstances{{now(), Json::array(), 0}};
    uint64_t m_listVersion = 0;
    uint64_t m_reads = 0;
    uint64_t m_writes = 0;
    uint64_t m_writtenBytes = 0;
};

constexpr int NotFound = 404;
constexpr int Conflict = 409;

Json Platform::entry(const std::string &key, const StoredValue &value) const
{
    return {{"key", key}, {"value", value.value}, {"revision", value.revision}};
}

HttpResponse Platform::read(const std::string &key)
{
    ++m_reads;
    const auto found = m_values.find(key);
    if (found == m_values.end())
        return {NotFound, "{}"};
    return {200, Json{{"entries", {entry(key, found->second)}}}.dump()};
}

HttpResponse Platform::list(const std::string &prefix)
{
    ++m_reads;
    Json entries = Json::array();
    for (const auto &[key, value] : m_values) {
        if (key.starts_with(prefix))
            entries.push_back(entry(key, value));
    }
    return {200, Json{{"entries", entries}}.dump()};
}

HttpResponse Platform::write(const std::string &key, const Json &body)
{
    ++m_writes;
    const auto lease = body.at("lease").get<uint64_t>();
    const auto found = m_values.find(key);
    const uint64_t revision = found == m_values.end() ? 0 : found->second.revision;
    if (revision != body.at("expected").get<uint64_t>())
        return {Conflict, Json{{"revision", revision}}.dump()};
    if (lease != 0 && !m_leases.contains(lease))
        return {Conflict, "{\"error\":\"the lease has ended\"}"};
    const auto value = body.at("value").get<std::string>();
    if (value.size() > 1'048'576)
        return {413, "{\"error\":\"value above 1 MB\"}"};
    m_writtenBytes += value.size();
    m_values[key] = {value, ++m_revision, lease};
    serveWatches(true);
    return {200, Json{{"revision", m_revision}}.dump()};
}

HttpResponse Platform::remove(const std::string &key, uint64_t expected)
{
    ++m_writes;
    const auto found = m_values.find(key);
    if (found == m_values.end() || found->second.revision != expected)
        return {Conflict, "{}"};
    m_values.erase(found);
    serveWatches(true);
    return {200, Json{{"revision", ++m_revision}}.dump()};
}

void Platform::endLease(uint64_t id)
{
    m_leases.erase(id);
    std::erase_if(m_values, [id](const auto &item) { return item.second.lease == id; });
    serveWatches(true);
}

HttpResponse Platform::lease(const HttpRequest &request, const std::string &id)
{
    ++m_writes;
    if (id.empty()) {
        const Duration ttl(parseJson(request.body).at("ttl_ms").get<int64_t>());
        m_leases[m_nextLease] = {ttl, now() + ttl};
        return {200, Json{{"lease", m_nextLease++}}.dump()};
    }
    const uint64_t leaseId = std::stoull(id);
    const auto found = m_leases.find(leaseId);
    if (found == m_leases.end())
        return {NotFound, "{}"};
    if (request.method == "DELETE")
        endLease(leaseId);
    else
        found->second.expiresAt = now() + found->second.ttl;
    return {200, Json{{"lease", leaseId}}.dump()};
}

HttpResponse Platform::instances(uint64_t since)
{
    while (m_publishedInstances.size() > 1 && !m_faults.isListFrozen
           && m_publishedInstances[1].at + m_faults.listLag <= now())
        m_publishedInstances.pop_front();
    const PublishedInstances &visible = m_publishedInstances.front();
    if (visible.version <= since)
        return {304, ""};
    return {200, Json{{"version", visible.version}, {"workers", visible.workers}}.dump()};
}

HttpResponse Platform::admin(const HttpRequest &request)
{
    if (request.path == "/admin/counters") {
        return {200,
                Json{{"reads", m_reads},
                     {"writes", m_writes},
                     {"written_bytes", m_writtenBytes},
                     {"keys", m_values.size()},
                     {"waiting_watches", m_watches.size()}}
                    .dump()};
    }
    const Json body = parseJson(request.body.empty() ? "{}" : request.body);
    if (request.path == "/admin/faults") {
        m_faults.isDown = body.value("down", false);
        m_faults.delay = Duration(body.value("delay_ms", 0));
        m_faults.responsesToLose = body.value("lose_answers", 0);
        m_faults.listLag = Duration(body.value("list_lag_ms", 0));
        m_faults.isListFrozen = body.value("list_frozen", false);
        return {200, "{}"};
    }
    // The same call adds workers, replaces them (for example to mark them as leaving) and removes
    // them.
    for (const Json &worker : body.value("add", Json::array()))
        m_workers[worker.at("id").get<std::string>()] = worker;
    for (const Json &id : body.value("remove", Json::array()))
        m_workers.erase(id.get<std::string>());
    Json workers = Json::array();
    for (const auto &[id, worker] : m_workers)
        workers.push_back(worker);
    m_publishedInstances.push_back({now(), workers, ++m_listVersion});
    return {200, Json{{"version", m_listVersion}}.dump()};
}

std::optional<HttpResponse> Platform::store(const HttpRequest &request,
                                            const HttpResponder &respond)
{
    const std::string &path = request.path;
    const auto withoutPrefix = [&path](const std::string &prefix) {
        return path.substr(prefix.size());
    };
    if (path.starts_with("/list/"))
        return list(withoutPrefix("/list/"));
    if (path.starts_with("/lease"))
        return lease(request, path.size() > 7 ? path.substr(7) : "");
    if (path.starts_with("/watch/")) {
        const Duration wait(request.queryNumber("wait_ms", 0));
        m_watches.push_back({withoutPrefix("/watch/"),
                             static_cast<uint64_t>(request.queryNumber("since", 0)), now() + wait,
                             respond});
        serveWatches(true);
        return std::nullopt;
    }
    if (!path.starts_with("/kv/"))
        return HttpResponse{NotFound, "{}"};
    const std::string key = withoutPrefix("/kv/");
    if (request.method == "PUT")
        return write(key, parseJson(request.body));
    if (request.method == "DELETE")
        return remove(key, static_cast<uint64_t>(request.queryNumber("expected", 0)));
    return read(key);
}

void Platform::handle(const HttpRequest &request, const HttpResponder &respond)
{
    const std::lock_guard lock(m_mutex);
    if (request.path.starts_with("/admin/"))
        return respond(admin(request));
    if (request.path == "/instances")
        return respond(instances(static_cast<uint64_t>(request.queryNumber("since", 0))));
    if (m_faults.isDown)
        return respond({503, "{\"error\":\"outage\"}"});
    const bool isWrite = request.method != "GET";
    const auto response = store(request, respond);
    if (!response)
        return;
    if (isWrite && m_faults.responsesToLose > 0) {
        --m_faults.responsesToLose;
        // Delayed until the client's timeout has passed.
        m_delayedResponses.emplace_back(now() + Duration(20'000), [respond] {
            respond({500, "{}"});
        });
        return;
    }
    if (m_faults.delay.count() > 0) {
        m_delayedResponses.emplace_back(now() + m_faults.delay,
                                        [respond, response] { respond(*response); });
        return;
    }
    respond(*response);
}

void Platform::serveWatches(bool isChanged)
{
    std::erase_if(m_watches, [&](const Watch &watch) {
        const auto found = m_values.find(watch.key);
        const bool isNewer = found != m_values.end() && found->second.revision > watch.since;
        if (!(isChanged && isNewer) && now() < watch.expiresAt)
            return false;
        watch.respond(read(watch.key));
        return true;
    });
}

void Platform::tick()
{
    const std::lock_guard lock(m_mutex);
    std::vector<uint64_t> expired;
    for (const auto &[id, lease] : m_leases) {
        if (lease.expiresAt < now())
            expired.push_back(id);
    }
    for (const uint64_t id : expired)
        endLease(id);
    if (m_faults.isDown) {
        for (const Watch &watch : m_watches)
            watch.respond({503, "{}"});
        m_watches.clear();
    }
    serveWatches(false);
    std::erase_if(m_delayedResponses, [](const auto &item) {
        if (item.first > now())
            return false;
        item.second();
        return true;
    });
}

} // namespace

} // namespace Cranberrymount

int main(int argc, char **argv)
{
    using namespace Cranberrymount;
    try {
        TCLAP::CmdLine command("standin-platform: store and instance list for tests", ' ', "0.1");
        const TCLAP::ValueArg<uint16_t> port("", "port", "HTTP port", true, 0, "PORT", command);
        command.parse(argc, argv);
        Platform platform;
        HttpServerLimits limits;
        limits.bodyBytes = 8'388'608;
        serveUntilSignal(platform, port.getValue(), limits, Duration(10));
        return 0;
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return 1;
    }
}
