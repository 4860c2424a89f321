// Compares components that share state through the store with simple models in memory.

#include "MemoryStore.h"

#include "Coordination/ClaimRegistry.h"
#include "Coordination/EscrowManager.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Cranberrymount;

namespace {

/** Several entries that claim a few idempotency keys; the model counts the requests that ran. */
class ClaimHistory
{
public:
    explicit ClaimHistory(uint64_t seed)
        : m_timers(m_events)
        , m_store(m_events, seed)
    {
        for (const char *entry : {"a-e0", "a-e1", "b-e0"}) {
            m_registries.push_back(std::make_unique<ClaimRegistry>(m_store, m_timers, entry));
            m_registries.back()->start();
        }
    }

    void claimRandomKey()
    {
        const auto registry = *rc::gen::inRange<std::size_t>(0, m_registries.size());
        const std::string key = *rc::gen::element<std::string>("k0", "k1");
        const std::string digest = *rc::gen::element<std::string>("d0", "d0", "d0", "d1");
        const auto outcome =
            *rc::gen::element(LookupReply::Answered, LookupReply::NotRun, LookupReply::Unknown);
        m_models[key].claimedDigests.insert(digest);
        const std::string nonce = "n" + std::to_string(m_claimCount++);
        m_registries[registry]->claim(key, digest, nonce, [=, this](const ClaimResult &claim) {
            handleClaim(registry, key, digest, nonce, outcome, claim);
        });
        run(Duration(*rc::gen::inRange(0, 400)));
    }

    void run(Duration time) { m_events.runUntil(m_events.now() + time); }

private:
    struct ClaimModel
    {
        std::string digest;
        std::set<std::string> claimedDigests;
        std::size_t runCount = 0;
        std::string answer;
    };

    void handleClaim(std::size_t registry, const std::string &key, const std::string &digest,
                     const std::string &nonce, LookupReply::Outcome outcome,
                     const ClaimResult &claim)
    {
        ClaimModel &model = m_models[key];
        if (claim.outcome == ClaimResult::Replayed) {
            RC_ASSERT(claim.reply.body == model.answer);
            RC_ASSERT(digest == model.digest);
        }
        // A claim that is written late excludes requests with other bodies too, although its own
        // request was reported as not run.
        if (claim.outcome == ClaimResult::Mismatch)
            RC_ASSERT(model.claimedDigests.size() > 1U);
        if (claim.outcome != ClaimResult::Claimed)
            return;
        // A request that was not run may be tried again; every other one runs at most once.
        RC_ASSERT(model.runCount == 0U);
        model.digest = digest;
        if (outcome != LookupReply::NotRun)
            ++model.runCount;
        LookupReply reply;
        reply.outcome = outcome;
        reply.body = nonce;
        if (outcome == LookupReply::Answered)
            model.answer = nonce;
        m_registries[registry]->recordOutcome(key, reply, [] {});
    }

    EventQueue m_events;
    EventQueueTimers m_timers;
    MemoryStore m_store;
    std::vector<std::unique_ptr<ClaimRegistry>> m_registries;
    std::map<std::string, ClaimModel> m_models;
    int m_claimCount = 0;
};

/** Shards that share one team's limit; the model adds up the resources that they use. */
class EscrowHistory
{
public:
    explicit EscrowHistory(uint64_t seed)
        : m_timers(m_events)
        , m_store(m_events, seed)
    {
        m_configuration.revision = Revision(1);
        m_configuration.teams[m_team] = {1.0, cores(Limit), {}};
        for (std::size_t shard = 0; shard < Shards; ++shard)
            takeOver(shard);
    }

    void step()
    {
        const auto shard = *rc::gen::inRange<std::size_t>(0, Shards);
        if (*rc::gen::inRange(0, 20) == 0)
            takeOver(shard);
        const int64_t need = std::max(*rc::gen::inRange<int64_t>(0, Limit + 1), m_used[shard]);
        m_managers[shard]->update(m_team, cores(m_used[shard]), cores(need));
        m_events.runUntil(m_events.now() + Duration(*rc::gen::element(0, 20, 200, 1000)));
        // Tasks start only within the slice and the need that the shard reported; they end at any
        // time.
        const int64_t wanted = *rc::gen::inRange<int64_t>(0, Limit + 1);
        const int64_t slice = m_managers[shard]->slice(m_team).cpu.value() / 1000;
        if (wanted < m_used[shard] || wanted <= std::min(slice, need))
            m_used[shard] = wanted;
        int64_t sum = 0;
        for (const int64_t used : m_used)
            sum += used;
        RC_ASSERT(sum <= Limit);
        m_maxUsed = std::max(m_maxUsed, sum);
    }

    int64_t maxUsed() const { return m_maxUsed; }

private:
    static constexpr std::size_t Shards = 3;
    static constexpr int64_t Limit = 8;

    static Resources cores(int64_t count)
    {
        return {CpuMillis(1000 * count), MemoryMb(1000 * count), AcceleratorCount(0)};
    }

    void takeOver(std::size_t shard)
    {
        m_managers[shard] = std::make_unique<EscrowManager>(
            m_store, m_timers, ShardId("s" + std::to_string(shard)), EscrowManager::Settings());
        m_managers[shard]->setLimits(m_configuration);
    }

    const TeamId m_team{"red"};
    EventQueue m_events;
    EventQueueTimers m_timers;
    MemoryStore m_store;
    Configuration m_configuration;
    std::array<std::unique_ptr<EscrowManager>, Shards> m_managers;
    std::array<int64_t, Shards> m_used{};
    int64_t m_maxUsed = 0;
};

} // namespace

TEST_CASE("Idempotency claims agree with a model in memory under lost and late responses",
          "[differential]")
{
    CHECK(rc::check([] {
        ClaimHistory history(*rc::gen::arbitrary<uint64_t>());
        for (int step = 0; step < 40; ++step)
            history.claimRandomKey();
        history.run(Duration(2000));
    }));
}

TEST_CASE("Escrow keeps use within a team's limit under lost and late responses", "[differential]")
{
    int64_t maxUsed = 0;
    CHECK(rc::check([&maxUsed] {
        EscrowHistory history(*rc::gen::arbitrary<uint64_t>());
        for (int step = 0; step < 600; ++step)
            history.step();
        maxUsed = std::max(maxUsed, history.maxUsed());
    }));
    // The check above proves something only if the shards can use the whole limit.
    CHECK(maxUsed == 8);
}
