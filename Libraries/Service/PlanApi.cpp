#include "Service/PlanApi.h"

#include "Protocol/StoredValue.h"

#include <algorithm>

namespace Cranberrymount {

namespace {

constexpr std::size_t MaxKeptDecisions = 256;
constexpr std::size_t PlanIdBytes = 6;

std::string planKey(const PlanId &id)
{
    return "plan/" + id.value();
}

const char *decisionName(PlanDecision decision)
{
    return decision == PlanDecision::Confirmed ? "confirmed" : "rejected";
}

std::optional<PlanDecision> findDecision(const Configuration &configuration, const PlanId &id)
{
    for (const auto &[plan, decision] : configuration.decisions) {
        if (plan == id)
            return decision;
    }
    return std::nullopt;
}

void recordDecision(Configuration &configuration, const PlanId &id, PlanDecision decision)
{
    configuration.decisions.emplace_back(id, decision);
    if (configuration.decisions.size() > MaxKeptDecisions)
        configuration.decisions.erase(configuration.decisions.begin());
}

/** @return what draining @p zone would move, and whether the other zones have capacity for it. */
Json forecastDrain(const ZoneId &zone, const GatheredReplies &status)
{
    std::size_t running = 0;
    std::size_t waiting = 0;
    Resources used;
    Resources free;
    for (const GatheredReply &reply : status.replies) {
        const Json entry = parseJson(reply.reply.body);
        for (const Json &shard : entry.at("shards")) {
            const auto shardFree = shard.at("free").get<Resources>();
            if (shard.at("zone") != zone.value()) {
                free += shardFree;
                continue;
            }
            running += shard.at("running").get<std::size_t>();
            waiting += shard.at("waiting").get<std::size_t>();
            used += shard.at("capacity").get<Resources>() - shardFree;
        }
    }
    return {{"tasks_checkpointed_and_moved", running},
            {"waiting_tasks_moved", waiting},
            {"resources_to_place", used},
            {"free_elsewhere", free},
            {"fits_elsewhere", used.fitsIn(free)},
            {"silent_entries", status.unresponsive.size()}};
}

} // namespace

PlanApi::PlanApi(EntryNode &node)
    : m_node(node)
{
}

void PlanApi::create(const Json &intentJson, const std::string &trace, Done done)
{
    const Intent intent = intentFromJson(intentJson);
    const Configuration base = *m_node.controlPlane().configurationManager().configuration();
    Configuration planned = base;
    const std::string applyError = applyIntent(intent, planned);
    if (!applyError.empty())
        return done({409, {{"error", applyError}, {"outcome", "not-run"}}});
    const PlanId id("plan-" + m_node.tracer().randomHex(PlanIdBytes));
    Json plan = {{"id", id.value()},
                 {"intent", intentJson},
                 {"base_revision", base.revision.value()},
                 {"base", base},
                 {"changes", describeChanges(base, planned)}};
    const auto *drain = std::get_if<DrainZone>(&intent);
    if (!drain)
        return store(id, std::move(plan), std::move(done));
    m_node.controlPlane().gather(
        {"status", {}}, trace,
        answering(done, [this, id, plan, zone = drain->zone, done](const GatheredReplies &status) {
            Json planWithForecast = plan;
            planWithForecast["forecast"] = forecastDrain(zone, status);
            store(id, std::move(planWithForecast), done);
        }));
}

void PlanApi::store(const PlanId &id, Json plan, Done done)
{
    const std::string value = plan.dump();
    plan.erase("base");
    m_node.store().write(
        {planKey(id), value, Revision(), m_node.dayLease().current()},
        [plan = std::move(plan), done = std::move(done)](const StoreWrite &write) {
            if (write.outcome == StoreWrite::Written)
                return done({201, plan});
            done({503,
                  {{"error", "the store did not confirm that the plan is stored; create it again"},
                   {"outcome", "not-run"}}});
        });
}

void PlanApi::show(const PlanId &id, Done done)
{
    m_node.store().read(planKey(id), [this, id, done = std::move(done)](const StoreRead &read) {
        if (!read.answered)
            return done({503, {{"error", "the store cannot be reached"}}});
        if (read.entries.empty())
            return done({404, {{"error", "no plan has the id " + id.value()}}});
        const StoreEntry &entry = read.entries.front();
        auto stored = decodeStored(entry.key, [&entry] { return parseJson(entry.value); });
        if (!stored || !stored->is_object())
            return done({503, {{"error", "the stored plan is malformed"}}});
        Json &plan = *stored;
        plan.erase("base");
        const auto decision =
            findDecision(*m_node.controlPlane().configurationManager().configuration(), id);
        plan["state"] = decision ? decisionName(*decision) : "open";
        done({200, std::move(plan)});
    });
}

void PlanApi::decide(const PlanId &id, PlanDecision decision, Done done)
{
    m_node.store().read(
        planKey(id), [this, id, decision, done = std::move(done)](const StoreRead &read) {
            if (!read.answered) {
                return done(
                    {503, {{"error", "the store cannot be reached"}, {"outcome", "not-run"}}});
            }
            if (read.entries.empty())
                return done({404, {{"error", "no plan has the id " + id.value()}}});
            const StoreEntry &entry = read.entries.front();
            const auto plan = decodeStored(entry.key, [&entry] {
                const Json json = parseJson(entry.value);
                return StoredPlan{intentFromJson(json.at("intent")),
                                  json.at("base").get<Configuration>()};
            });
            if (!plan) {
                return done(
                    {503, {{"error", "the stored plan is malformed"}, {"outcome", "not-run"}}});
            }
            applyDecision(id, decision, *plan, done);
        });
}

void PlanApi::applyDecision(const PlanId &id, PlanDecision decision, const StoredPlan &plan,
                            const Done &done)
{
    auto refusal = std::make_shared<Json>();
    const auto change = [=, intent = plan.intent, base = plan.base](Configuration &configuration) {
        if (const auto earlier = findDecision(configuration, id)) {
            *refusal = {{"decided", decisionName(*earlier)}};
            return false;
        }
        const auto changes = describeChanges(base, configuration);
        if (decision == PlanDecision::Confirmed && !changes.empty()) {
            *refusal = {{"error", "the configuration has changed since the plan was created"},
                        {"changed", changes},
                        {"next", "create a new plan from the same intent"}};
            return false;
        }
        if (decision == PlanDecision::Confirmed) {
            const std::string applyError = applyIntent(intent, configuration);
            if (!applyError.empty()) {
                *refusal = {{"error", applyError}};
                return false;
            }
        }
        recordDecision(configuration, id, decision);
        return true;
    };
    m_node.controlPlane().configurationManager().change(change, [=](const ChangeResult &result) {
        const Json revision = result.current.revision.value();
        switch (result.outcome) {
        case ChangeResult::Changed:
            return done({200, {{"state", decisionName(decision)}, {"revision", revision}}});
        case ChangeResult::Refused:
            // Repeating the same decision succeeds, as the first one did.
            if (refusal->value("decided", "") == decisionName(decision))
                return done({200, {{"state", decisionName(decision)}, {"revision", revision}}});
            (*refusal)["outcome"] = "not-run";
            return done({409, *refusal});
        case ChangeResult::NotSent:
            return done({503,
                         {{"error", "the store cannot be reached; the decision was not recorded"},
                          {"outcome", "not-run"}}});
        case ChangeResult::Unknown:
            break;
        }
        done({504,
              {{"error", "the store did not answer; the decision may have been recorded"},
               {"outcome", "unknown"},
               {"next", "show the plan, or repeat the decision"}}});
    });
}

} // namespace Cranberrymount
