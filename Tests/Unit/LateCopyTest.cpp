#include "CellFixture.h"

#include "Coordination/Journal.h"
#include "Protocol/JournalCodec.h"

#include <algorithm>

using namespace Cranberrymount;

namespace {

/** Longer than ended jobs are kept. */
constexpr Duration UntilForgotten{160'000};

bool isSegment(const StoreTransaction &transaction)
{
    return !transaction.puts.empty() && segmentNumber(transaction.puts.front().key) > 0;
}

/** A cell whose store drops, or executes again, chosen commits of the journal. */
class LateCopyFixture : public CellFixture
{
protected:
    void replaceLeader()
    {
        m_cell.killLeader();
        m_cell.elect();
        REQUIRE(m_cell.runUntil([this] { return m_cell.leader().isReady(); }, Duration(1000)));
    }

    /** Submits and ends jobs for @p time, each of which takes some commits. */
    void runUnderLoad(Duration time)
    {
        const Instant end = m_cell.events.now() + time;
        while (m_cell.events.now() < end) {
            m_cell.submit(1, Small, Duration(100));
            m_cell.run(Duration(100));
        }
    }

    CommitResult commitAtOnce(const StoreTransaction &transaction)
    {
        CommitResult result;
        m_cell.store.commit(transaction, [&result](const CommitResult &one) { result = one; });
        m_cell.run(Duration(10));
        return result;
    }

    bool refusesAtOnce(const JobId &id)
    {
        m_cell.run(Duration(0));
        return m_cell.refused.contains(id);
    }
};

} // namespace

// Guards against a second run of a job whose acceptance a late copy brings back into the store.
TEST_CASE_METHOD(LateCopyFixture,
                 "Segment that a late copy brings back after its removal is ignored by the next "
                 "leader",
                 "[cell][latecopy]")
{
    StoreTransaction copy;
    m_cell.store.dropsCommit = [&copy](const StoreTransaction &transaction) {
        if (copy.puts.empty() && isSegment(transaction)) {
            const auto records = decodeSegment(transaction.puts.front().value).records;
            if (std::ranges::any_of(records, [](const JournalRecord &record) {
                    return std::holds_alternative<JobAccepted>(record);
                }))
                copy = transaction;
        }
        return false;
    };
    const JobId job = m_cell.submit(1, Small, Duration(500));
    REQUIRE(reachesState(job, JobState::Done));
    m_cell.run(UntilForgotten);
    runUnderLoad(Duration(10'000));
    REQUIRE(m_cell.store.keyCount(copy.puts.front().key) == 0);
    REQUIRE(commitAtOnce(copy).outcome == CommitResult::Committed);
    REQUIRE(m_cell.store.keyCount(copy.puts.front().key) == 1);
    m_cell.run(Duration(5000));
    const std::size_t starts = m_cell.startCount;
    replaceLeader();
    m_cell.run(Duration(10'000));
    CHECK(m_cell.startCount == starts);
    CHECK(m_cell.call(ClientCall::Status, job).outcome == ClientReply::NoSuchJob);

    // The next leader removes the segment with the others that it has found.
    runUnderLoad(Duration(30'000));
    CHECK(m_cell.store.keyCount(copy.puts.front().key) == 0);
}

// Guards against jobs that are lost because a later segment tells of a removal that never happened.
TEST_CASE_METHOD(LateCopyFixture,
                 "Segments whose removal was never executed are read by the next leader",
                 "[cell][latecopy]")
{
    constexpr int JobCount = 5;
    std::vector<JobId> jobs;
    jobs.reserve(JobCount);
    for (int index = 0; index < JobCount; ++index)
        jobs.push_back(m_cell.submit(1, {CpuMillis(20'000), MemoryMb(1), {}}, Duration(100)));
    std::string dropped;
    std::size_t laterSegments = 0;
    m_cell.store.dropsCommit = [&](const StoreTransaction &transaction) {
        if (!isSegment(transaction))
            return false;
        const std::string &key = transaction.puts.front().key;
        if (dropped.empty() && !transaction.removals.empty())
            dropped = key;
        if (!dropped.empty() && key > dropped)
            ++laterSegments;
        return key == dropped;
    };
    const auto hasDropped = [&dropped] { return !dropped.empty(); };
    while (!hasDropped() && m_cell.events.now() < Instant(Duration(1'200'000)))
        runUnderLoad(Duration(200));
    REQUIRE(hasDropped());
    m_cell.runUntil([&laterSegments] { return laterSegments >= 3; }, Duration(2000));
    REQUIRE(laterSegments >= 3);
    m_cell.run(Duration(200));
    m_cell.store.dropsCommit = nullptr;
    replaceLeader();
    for (const JobId &job : jobs)
        CHECK(m_cell.call(ClientCall::Status, job).outcome == ClientReply::JobShown);
    for (const JobId &job : m_cell.accepted)
        CHECK(m_cell.call(ClientCall::Status, job).outcome == ClientReply::JobShown);
}

// Guards against callers that wait for their deadline while the store loses every answer, and
// against a refused job that runs later.
TEST_CASE_METHOD(LateCopyFixture,
                 "Submissions are refused at once while a commit has been in doubt for 0.8 s",
                 "[cell][latecopy]")
{
    m_cell.store.dropsCommit = isSegment;
    const Instant begin = m_cell.events.now();
    std::vector<JobId> jobs;
    while (m_cell.events.now() - begin < Duration(700)) {
        jobs.push_back(m_cell.submit(1, Small, Duration(500)));
        m_cell.run(Duration(20));
    }
    CHECK(m_cell.refused.empty());
    m_cell.run(Duration(250));
    // Those that wait for a commit are refused with the next tick; those in flight are in doubt.
    CHECK_FALSE(m_cell.refused.empty());
    CHECK(m_cell.accepted.empty());
    const std::size_t inDoubt = jobs.size() - m_cell.refused.size();
    CHECK(inDoubt > 0);
    for (int index = 0; index < 50; ++index) {
        const JobId job = m_cell.submit(1, Small, Duration(500));
        CHECK(refusesAtOnce(job));
        m_cell.run(Duration(20));
    }
    m_cell.store.dropsCommit = nullptr;
    m_cell.run(Duration(20'000));
    CHECK(m_cell.accepted.size() == inDoubt);
    CHECK(m_cell.startCount == inDoubt);
    const JobId job = m_cell.submit(1, Small, Duration(500));
    CHECK(reachesState(job, JobState::Done));
    m_cell.refused.erase(job);
    for (const JobId &one : m_cell.refused)
        CHECK(m_cell.call(ClientCall::Status, one).outcome == ClientReply::NoSuchJob);
}
