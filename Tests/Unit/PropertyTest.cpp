// Properties that hold for all inputs, tested with random ones. RC_PARAMS sets the seed.

#include "Coordination/SlotTable.h"
#include "Decision/ShardScheduler.h"
#include "Protocol/Json.h"
#include "Protocol/PeerMessages.h"
#include "Protocol/ProtocolError.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace Cranberrymount;

namespace {

Resources arbitraryResources(int64_t limit)
{
    return {CpuMillis(*rc::gen::inRange<int64_t>(1, limit)),
            MemoryMb(*rc::gen::inRange<int64_t>(1, limit)),
            AcceleratorCount(*rc::gen::inRange<int64_t>(0, 3))};
}

ShardView arbitraryView()
{
    ShardView view;
    view.now = Instant(Duration(1'000'000));
    const int workers = *rc::gen::inRange(1, 8);
    for (int number = 0; number < workers; ++number) {
        const Resources capacity = arbitraryResources(20);
        view.workers.push_back({WorkerId("w" + std::to_string(number)),
                                RackId("r" + std::to_string(number / 2)), capacity, capacity,
                                *rc::gen::inRange(0, 4) > 0});
    }
    for (const char *team : {"red", "blue"})
        view.teams[TeamId(team)] = {*rc::gen::inRange(1, 4) * 1.0, {}, arbitraryResources(60)};
    const int groups = *rc::gen::inRange(0, 10);
    for (int number = 0; number < groups; ++number) {
        WaitingGroup group;
        group.job = JobId("job" + std::to_string(number));
        group.team = TeamId(*rc::gen::arbitrary<bool>() ? "red" : "blue");
        const int kind = *rc::gen::inRange(0, 3);
        group.policy = kind == 0 ? WorkPolicy(BatchPolicy())
            : kind == 1          ? WorkPolicy(GangPolicy())
                                 : WorkPolicy(ServicePolicy());
        group.perTask = arbitraryResources(8);
        group.urgent = *rc::gen::inRange(0, 5) == 0;
        group.since = view.now - Duration(*rc::gen::inRange(0, 20'000));
        const int tasks = *rc::gen::inRange(1, 9);
        for (int index = 0; index < tasks; ++index)
            group.indexes.push_back(static_cast<uint32_t>(index));
        view.waiting.push_back(std::move(group));
    }
    return view;
}

/**
 * @return true if @p decision places no task twice, no gang in part and nothing on an unusable
 * worker, and stays within the workers' free capacity and the teams' slices.
 */
bool keepsAllRules(const ShardView &view, const ShardDecision &decision)
{
    std::map<WorkerId, Resources> usedByWorker;
    std::map<TeamId, Resources> usedByTeam;
    std::map<JobId, std::set<uint32_t>> placedTasks;
    std::map<JobId, const WaitingGroup *> groups;
    for (const WaitingGroup &group : view.waiting)
        groups[group.job] = &group;
    for (const Placement &placement : decision.placements) {
        const WaitingGroup &group = *groups.at(placement.task.job);
        if (!placedTasks[group.job].insert(placement.task.index).second)
            return false;
        usedByWorker[placement.worker] += group.perTask;
        usedByTeam[group.team] += group.perTask;
    }
    for (const WorkerCapacity &worker : view.workers) {
        const auto used = usedByWorker.find(worker.id);
        if (used != usedByWorker.end() && (!worker.usable || !used->second.fitsIn(worker.free)))
            return false;
    }
    for (const auto &[team, used] : usedByTeam) {
        if (!used.fitsIn(view.teams.at(team).slice))
            return false;
    }
    for (const auto &[job, placed] : placedTasks) {
        const WaitingGroup &group = *groups.at(job);
        if (std::holds_alternative<GangPolicy>(group.policy)
            && placed.size() != group.indexes.size())
            return false;
    }
    return true;
}

ShardRecord arbitraryRecord()
{
    ShardRecord record;
    record.epoch = Epoch(*rc::gen::inRange<uint64_t>(0, 1000));
    record.sequence = *rc::gen::inRange<uint64_t>(0, 1000);
    record.roster[WorkerId("w1")] = InstanceListVersion(*rc::gen::inRange<uint64_t>(0, 9));
    const int jobs = *rc::gen::inRange(0, 4);
    for (int number = 0; number < jobs; ++number) {
        JobPortion portion;
        portion.spec.id = JobId("job" + std::to_string(number));
        portion.spec.team = TeamId("red");
        portion.spec.tasks = static_cast<uint32_t>(*rc::gen::inRange(1, 6));
        portion.spec.perTask = arbitraryResources(10);
        portion.cancelled = *rc::gen::arbitrary<bool>();
        for (uint32_t index = 0; index < portion.spec.tasks; ++index) {
            const auto phase = *rc::gen::element(TaskPhase::Open, TaskPhase::Done,
                                                 TaskPhase::Failed, TaskPhase::Cancelled);
            if (*rc::gen::inRange(0, 4) > 0 || portion.tasks.empty())
                portion.tasks.push_back({index, phase, *rc::gen::inRange<uint32_t>(0, 3)});
        }
        record.outgoing.push_back({3, ShardId("b.0"), portion});
        record.admitted.push_back({portion.spec.id, *rc::gen::arbitrary<uint64_t>()});
        if (portion.cancelled)
            record.cancelled.push_back(portion.spec.id);
        record.portions.emplace(portion.spec.id, std::move(portion));
    }
    record.lastSent[ShardId("b.0")] = 3;
    record.lastReceived[ShardId("c.0")] = *rc::gen::inRange<uint64_t>(0, 9);
    return record;
}

} // namespace

TEST_CASE("Every decision respects capacity and slices and places gangs whole", "[property]")
{
    CHECK(rc::check([] {
        const ShardView view = arbitraryView();
        RC_ASSERT(keepsAllRules(view, ShardScheduler().decide(view)));
    }));
}

TEST_CASE("Every shard record is unchanged by encoding and decoding", "[property]")
{
    CHECK(rc::check([] {
        const ShardRecord record = arbitraryRecord();
        RC_ASSERT(decodeJson<ShardRecord>(Json(record).dump()) == record);
    }));
}

TEST_CASE("Tasks that moved away and back keep their phases when encoded and decoded", "[property]")
{
    CHECK(rc::check([] {
        JobPortion portion;
        portion.spec.id = JobId("job");
        portion.spec.tasks = static_cast<uint32_t>(*rc::gen::inRange(1, 9));
        std::map<uint32_t, TaskPhase> expected;
        std::vector<TaskRecord> moved;
        for (uint32_t index = 0; index < portion.spec.tasks; ++index) {
            const auto phase = *rc::gen::element(TaskPhase::Open, TaskPhase::Done);
            expected[index] = phase;
            (*rc::gen::arbitrary<bool>() ? moved : portion.tasks).push_back({index, phase});
        }
        portion.add(moved);
        const auto stored = decodeJson<JobPortion>(Json(portion).dump());
        for (const auto &[index, phase] : expected)
            RC_ASSERT(stored.find(index)->phase == phase);
    }));
}

TEST_CASE("Corrupted peer frame is decoded or fails with a protocol error", "[property]")
{
    CHECK(rc::check([] {
        LookupCall call;
        call.queue = QueueId("open");
        call.body = *rc::gen::arbitrary<std::string>();
        std::string frame = encodeEnvelope({7, "trace", call});
        const auto at = *rc::gen::inRange<std::size_t>(0, frame.size());
        frame[at] = static_cast<char>(*rc::gen::inRange(0, 256));
        frame.resize(*rc::gen::inRange<std::size_t>(0, frame.size() + 1));
        try {
            decodeEnvelope(frame);
        } catch (const ProtocolError &) {
            // The only error that a corrupted frame may cause.
        }
    }));
}

TEST_CASE("Slot table agrees with a simple count after any sequence of takes and releases",
          "[property]")
{
    CHECK(rc::check([] {
        constexpr uint32_t SlotsPerWorker = 3;
        SlotTable table(0);
        const Instant now(Duration(1000));
        std::vector<SlotTarget> targets;
        for (const char *id : {"w0", "w1"})
            targets.push_back(
                {WorkerId(id), "", SlotsPerWorker, Epoch(1), now, now + Duration(1000)});
        table.setTargets(targets);
        std::map<WorkerId, uint32_t> expectedInUse;
        std::vector<Slot> held;
        const auto steps = *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
        for (const bool shouldTake : steps) {
            if (shouldTake) {
                std::optional<Slot> taken;
                table.take(now, {now}, {},
                           [&taken](const std::optional<Slot> &slot) { taken = slot; });
                const bool hasFreeSlot = expectedInUse[WorkerId("w0")] < SlotsPerWorker
                    || expectedInUse[WorkerId("w1")] < SlotsPerWorker;
                RC_ASSERT(taken.has_value() == hasFreeSlot);
                if (!taken)
                    continue;
                RC_ASSERT(++expectedInUse[taken->worker] <= SlotsPerWorker);
                held.push_back(*taken);
            } else if (!held.empty()) {
                --expectedInUse[held.back().worker];
                table.release(held.back(), now);
                held.pop_back();
            }
            RC_ASSERT(table.slotsInUse() == held.size());
        }
    }));
}
