#include "Service/Intent.h"

#include "Protocol/ProtocolError.h"
#include "Service/Settings.h"
#include "Service/TomlChecker.h"

namespace Cranberrymount {

namespace {

/** Each visitor returns an empty string, or why the intent cannot be applied. */
class IntentApplier
{
public:
    explicit IntentApplier(Configuration &configuration)
        : m_configuration(configuration)
    {
    }

    std::string operator()(const DrainZone &drain) const
    {
        if (!m_configuration.zonesOutOfService.insert(drain.zone).second)
            return "zone " + drain.zone.value() + " is already out of service";
        return {};
    }

    std::string operator()(const ReturnZone &returnZone) const
    {
        if (m_configuration.zonesOutOfService.erase(returnZone.zone) == 0)
            return "zone " + returnZone.zone.value() + " is not out of service";
        return {};
    }

    std::string operator()(const GrantShare &grant) const
    {
        Team &team = m_configuration.teams[grant.team];
        team.share = grant.share;
        team.limit = grant.limit;
        return {};
    }

    std::string operator()(const IssueKey &issue) const
    {
        const auto team = m_configuration.teams.find(issue.team);
        if (team == m_configuration.teams.end())
            return "team " + issue.team.value() + " is not declared";
        if (!team->second.keyHashes.insert(issue.keyHash).second)
            return "the team already has this key";
        return {};
    }

    std::string operator()(const WithdrawKey &withdraw) const
    {
        const auto team = m_configuration.teams.find(withdraw.team);
        if (team == m_configuration.teams.end()
            || team->second.keyHashes.erase(withdraw.keyHash) == 0)
            return "team " + withdraw.team.value() + " has no such key";
        return {};
    }

    std::string operator()(const FinishBy &finish) const
    {
        m_configuration.deadlines[finish.job] = finish.deadline;
        return {};
    }

    std::string operator()(const ApplyDeclaration &apply) const
    {
        std::map<TeamId, Team> teams = apply.declared.teams;
        for (auto &[id, team] : teams) {
            const auto existing = m_configuration.teams.find(id);
            if (existing != m_configuration.teams.end())
                team.keyHashes = existing->second.keyHashes;
        }
        m_configuration.teams = std::move(teams);
        m_configuration.queues = apply.declared.queues;
        return {};
    }

private:
    Configuration &m_configuration;
};

std::string requiredString(const Json &json, const char *key)
{
    const auto found = json.find(key);
    if (found == json.end() || !found->is_string() || found->get<std::string>().empty())
        throw ProtocolError(std::string("'") + key + "' must be a non-empty string");
    return found->get<std::string>();
}

template <typename Map>
void describeMap(const Map &before, const Map &after, const std::string &kind,
                 std::vector<std::string> &changes)
{
    for (const auto &[id, value] : after) {
        const auto found = before.find(id);
        if (found == before.end())
            changes.push_back(kind + " " + id.value() + " is added");
        else if (!(found->second == value))
            changes.push_back(kind + " " + id.value() + " is changed");
    }
    for (const auto &[id, value] : before) {
        if (!after.contains(id))
            changes.push_back(kind + " " + id.value() + " is removed");
    }
}

} // namespace

Intent intentFromJson(const Json &json)
{
    if (!json.is_object())
        throw ProtocolError("an intent must be a JSON object");
    const std::string type = requiredString(json, "type");
    if (type == "drain-zone")
        return DrainZone{ZoneId(requiredString(json, "zone"))};
    if (type == "return-zone")
        return ReturnZone{ZoneId(requiredString(json, "zone"))};
    if (type == "grant-share") {
        GrantShare grant{TeamId(requiredString(json, "team")), json.value("share", 1.0),
                         fromJson<Resources>(json.value("limit", Json::object()))};
        if (!(grant.share > 0))
            throw ProtocolError("'share' must be a number above 0");
        return grant;
    }
    if (type == "issue-key")
        return IssueKey{TeamId(requiredString(json, "team")), requiredString(json, "key_sha256")};
    if (type == "withdraw-key")
        return WithdrawKey{TeamId(requiredString(json, "team")),
                           requiredString(json, "key_sha256")};
    if (type == "finish-by")
        return FinishBy{JobId(requiredString(json, "job")), json.value("deadline", int64_t(0))};
    if (type == "apply")
        return ApplyDeclaration{fromJson<Configuration>(json.value("configuration", Json()))};
    throw ProtocolError("intent type '" + type
                        + "' is none of drain-zone, return-zone, grant-share, issue-key, "
                          "withdraw-key, finish-by, apply");
}

std::string applyIntent(const Intent &intent, Configuration &configuration)
{
    return std::visit(IntentApplier(configuration), intent);
}

std::vector<std::string> describeChanges(const Configuration &before, const Configuration &after)
{
    std::vector<std::string> changes;
    describeMap(before.teams, after.teams, "team", changes);
    describeMap(before.queues, after.queues, "queue", changes);
    describeMap(before.deadlines, after.deadlines, "deadline of job", changes);
    for (const ZoneId &zone : after.zonesOutOfService) {
        if (!before.zonesOutOfService.contains(zone))
            changes.push_back("zone " + zone.value() + " is taken out of service");
    }
    for (const ZoneId &zone : before.zonesOutOfService) {
        if (!after.zonesOutOfService.contains(zone))
            changes.push_back("zone " + zone.value() + " is returned to service");
    }
    return changes;
}

Configuration readDeclaration(const std::string &text, const std::string &name)
{
    std::vector<std::string> faults;
    TomlChecker checker(name, faults);
    const toml::table root = checker.parse(text);
    Configuration declared;
    const toml::table &teams = checker.section(root, "teams", faults.empty());
    for (const auto &[key, node] : teams) {
        const TeamId id{std::string(key.str())};
        const toml::table &table = checker.section(teams, id.value(), true);
        declared.teams[id].share = checker.real(table, "share", 1.0, 0.001, 1000.0);
        declared.teams[id].limit = checker.resources(table, "limit");
        checker.rejectUnknown(table);
    }
    const toml::table &queues = checker.section(root, "queues", false);
    for (const auto &[key, node] : queues) {
        const QueueId id{std::string(key.str())};
        const toml::table &table = checker.section(queues, id.value(), true);
        Queue &queue = declared.queues[id];
        queue.open = checker.flag(table, "open", false);
        queue.timeoutMs =
            static_cast<uint32_t>(checker.number(table, "timeout_ms", 2000, 10, 60'000));
        for (const std::string &team : checker.texts(table, "teams")) {
            queue.teams.insert(TeamId(team));
            if (!declared.teams.contains(TeamId(team)))
                checker.fault(table.get("teams"),
                              "queue " + id.value() + " names team '" + team
                                  + "', which is not declared");
        }
        checker.rejectUnknown(table);
    }
    checker.rejectUnknown(root);
    if (faults.empty())
        return declared;
    std::string message;
    for (const std::string &fault : faults)
        message += (message.empty() ? "" : "\n") + fault;
    throw SettingsError(message);
}

} // namespace Cranberrymount
