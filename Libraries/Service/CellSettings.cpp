#include "Service/CellSettings.h"

#include "Service/Settings.h"
#include "Service/TomlChecker.h"

#include <fmt/format.h>

#include <cmath>

namespace Cranberrymount {

CellSettings parseCellSettings(const std::string &text, const std::string &name)
{
    std::vector<std::string> faults;
    TomlChecker checker(name, faults);
    const toml::table root = checker.parse(text);
    CellSettings settings;
    if (faults.empty()) {
        const toml::table &node = checker.section(root, "node", true);
        settings.node = EntryId(checker.requiredText(node, "id"));
        settings.zone = ZoneId(checker.requiredText(node, "zone"));
        const double share = checker.real(node, "processor_share", 1, 0.001, 1);
        const double cores = checker.real(node, "processor_cores", 1, 0.001, 1024);
        settings.processor = CpuMillis(std::llround(1000 * share * cores));
        settings.linkBandwidth =
            checker.real(node, "link_mbps", settings.linkBandwidth, 0.001, 1e6);
        settings.memory =
            MemoryMb(checker.number(node, "memory_mb", settings.memory.value(), 32, 1'048'576));
        settings.maxDescriptors = checker.number(node, "max_descriptors", 4096, 256, 1'048'576);
        settings.maxBodyBytes = checker.number(node, "max_body_bytes", 1'048'576, 1024, 16'777'216);
        settings.front = checker.requiredEndpoint(node, "front");
        settings.readiness = checker.requiredEndpoint(node, "readiness");
        settings.peer = checker.requiredEndpoint(node, "peer");
        settings.metrics = checker.requiredEndpoint(node, "metrics");
        checker.rejectUnknown(node);
        const toml::table &platform = checker.section(root, "platform", true);
        settings.store = checker.requiredEndpoint(platform, "store");
        if (platform.contains("advisor"))
            settings.advisor = checker.requiredEndpoint(platform, "advisor");
        checker.rejectUnknown(platform);
        const toml::table &timing = checker.section(root, "timing", false);
        const auto read = [&](const char *key, Duration fallback, int64_t low, int64_t high) {
            return Duration(checker.number(timing, key, fallback.count(), low, high));
        };
        settings.workerLease = read("worker_lease_ms", settings.workerLease, 500, 600'000);
        settings.gangWait = read("gang_wait_ms", settings.gangWait, 200, 600'000);
        settings.configApply = read("config_apply_ms", settings.configApply, 1000, 600'000);
        const int64_t status =
            checker.number(timing, "status_s", settings.statusRetention.count() / 1000, 1, 86'400);
        settings.statusRetention = std::chrono::seconds(status);
        const int64_t grace =
            checker.number(timing, "stop_grace_s", settings.stopGrace.count() / 1000, 1, 600);
        settings.stopGrace = std::chrono::seconds(grace);
        checker.rejectUnknown(timing);
        const toml::table &placement = checker.section(root, "placement", false);
        settings.remoteFactor = checker.real(placement, "remote_factor", 1, 1, 100);
        checker.rejectUnknown(placement);
        checker.rejectUnknown(root);
    }
    if (faults.empty())
        return settings;
    throw SettingsError(fmt::format("{}", fmt::join(faults, "\n")));
}

CellSettings readCellSettings(const std::string &path)
{
    return parseCellSettings(readSettingsFile(path), path);
}

} // namespace Cranberrymount
