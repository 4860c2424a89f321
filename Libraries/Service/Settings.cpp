#include "Service/Settings.h"

#include "Service/TomlChecker.h"

#include <fmt/format.h>

#include <fstream>
#include <sstream>

namespace Cranberrymount {

namespace {

Duration milliseconds(TomlChecker &checker, const toml::table &table, const std::string &key,
                      Duration fallback, int64_t low, int64_t high)
{
    return Duration(checker.number(table, key, fallback.count(), low, high));
}

void readEntry(TomlChecker &checker, const toml::table &root, Settings &settings)
{
    const toml::table &entry = checker.section(root, "entry", true);
    settings.entry = EntryId(checker.requiredText(entry, "id"));
    settings.zone = ZoneId(checker.requiredText(entry, "zone"));
    settings.http = checker.requiredEndpoint(entry, "http");
    settings.peer = checker.requiredEndpoint(entry, "peer");
    settings.peers = checker.endpoints(entry, "peers");
    settings.operatorKeyHash = checker.requiredHash(entry, "operator_key_sha256");
    settings.shardsPerZone =
        static_cast<uint32_t>(checker.number(entry, "shards_per_zone", 1, 1, 256));
    checker.rejectUnknown(entry);
}

void readPlatform(TomlChecker &checker, const toml::table &root, Settings &settings)
{
    const toml::table &platform = checker.section(root, "platform", true);
    settings.storeUrl = checker.requiredUrl(platform, "store");
    settings.instancesUrl = checker.requiredUrl(platform, "instances");
    checker.rejectUnknown(platform);
}

void readLimits(TomlChecker &checker, const toml::table &root, Settings &settings)
{
    const toml::table &limits = checker.section(root, "limits", false);
    settings.httpThreads = checker.number(limits, "http_threads", 2, 1, 64);
    settings.maxBodyBytes = checker.number(limits, "max_body_bytes", 1'048'576, 1024, 16'777'216);
    settings.memoryMb = checker.number(limits, "memory_mb", 1024, 32, 1'048'576);
    settings.maxDescriptors = checker.number(limits, "max_descriptors", 4096, 256, 1'048'576);
    settings.maxWaitingRequests = checker.number(limits, "max_waiting_requests", 256, 0, 100'000);
    settings.faultsAllowed = checker.flag(limits, "faults_allowed", false);
    checker.rejectUnknown(limits);
}

void readTiming(TomlChecker &checker, const toml::table &root, Settings &settings)
{
    const toml::table &timing = checker.section(root, "timing", false);
    const auto read = [&](const std::string &key, Duration &value, int64_t low, int64_t high) {
        value = milliseconds(checker, timing, key, value, low, high);
    };
    read("evidence_ms", settings.evidenceBound, 500, 6000);
    read("heartbeat_ms", settings.heartbeatPeriod, 100, 10'000);
    read("store_lease_ms", settings.storeLease, 1000, 60'000);
    read("store_timeout_ms", settings.storeTimeout, 100, 10'000);
    read("worker_lease_ms", settings.workerLease, 2000, 60'000);
    read("worker_timeout_ms", settings.workerTimeout, 100, 10'000);
    read("orphan_grace_ms", settings.orphanGrace, 1000, 3'600'000);
    read("instance_list_ms", settings.instanceListPeriod, 100, 60'000);
    checker.rejectUnknown(timing);
}

} // namespace

Settings parseSettings(const std::string &text, const std::string &name)
{
    std::vector<std::string> faults;
    TomlChecker checker(name, faults);
    const toml::table root = checker.parse(text);
    Settings settings;
    if (faults.empty()) {
        readEntry(checker, root, settings);
        readPlatform(checker, root, settings);
        readLimits(checker, root, settings);
        readTiming(checker, root, settings);
        checker.rejectUnknown(root);
    }
    if (faults.empty())
        return settings;
    throw SettingsError(fmt::format("{}", fmt::join(faults, "\n")));
}

std::string readSettingsFile(const std::string &path)
{
    const std::ifstream file(path);
    if (!file)
        throw SettingsError(path + ": cannot be opened");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

Settings readSettings(const std::string &path)
{
    return parseSettings(readSettingsFile(path), path);
}

} // namespace Cranberrymount
