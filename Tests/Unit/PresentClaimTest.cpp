#include "CellFixture.h"

using namespace Cranberrymount;

namespace {

const JobId UnknownJob("00000000000000ff");

/** A cell whose first leader can be frozen or cut off while another node takes the claim over. */
class PresentClaimFixture : protected CellFixture
{
protected:
    /** Freezes the first leader until its successor is ready, for at least @p time. */
    void freezeAndReplace(Duration time = Duration(1000))
    {
        m_former.freeze();
        m_cell.run(time);
        m_cell.elect();
        REQUIRE(m_cell.runUntil([this] { return m_cell.leader().isReady(); }, Duration(1000)));
    }

    /** Sends a call to the first leader; its process receives it when it is not frozen. */
    void callFormer(ClientCall::Kind kind, const std::string &path, const std::string &key = "key")
    {
        ClientCall call;
        call.kind = kind;
        call.host = "host";
        call.path = path;
        call.key = key;
        call.spec.steps.resize(1);
        call.spec.steps[0].taskCount = 1;
        m_former.deliver([this, call] {
            m_formerLeader.handle(
                call, [this](ClientReply reply) { m_replies.push_back(std::move(reply)); });
        });
    }

    /** Lets the first leader go on, and gives it time for its answers. */
    void thawFormer()
    {
        m_former.thaw();
        m_cell.run(Duration(1000));
    }

    CellScheduler &m_formerLeader = m_cell.leader();
    LeaderProcess &m_former = m_cell.leaderProcess();
    std::vector<ClientReply> m_replies;
};

std::string pathOf(const JobId &job)
{
    return "/queue/" + job.value();
}

} // namespace

// UNASKED in review/6: 410 for a job that the successor had accepted, which ran on.
TEST_CASE_METHOD(PresentClaimFixture,
                 "Leader that was frozen does not deny a job that its successor has accepted",
                 "[cell][presentclaim]")
{
    const auto kind = GENERATE(ClientCall::Cancel, ClientCall::Status);
    freezeAndReplace(GENERATE(Duration(1000), Duration(2200), Duration(4000)));
    const JobId job = m_cell.submit(1, Small, Duration(5000));
    m_cell.run(Duration(200));
    REQUIRE(m_cell.accepted.contains(job));
    callFormer(kind, pathOf(job));
    thawFormer();
    REQUIRE(m_replies.size() == 1);
    CHECK(m_replies.front().outcome == ClientReply::Isolated);
}

// Guards against 410 and 200 for a job that ended at the frozen leader but not at its successor,
// which could not read that part of the journal.
TEST_CASE_METHOD(PresentClaimFixture,
                 "Leader that was frozen acknowledges no cancellation of an ended job",
                 "[cell][presentclaim]")
{
    const JobId job = m_cell.submit(1, Small, Duration(300));
    REQUIRE(reachesState(job, JobState::Done));
    freezeAndReplace();
    callFormer(ClientCall::Cancel, pathOf(job));
    thawFormer();
    REQUIRE(m_replies.size() == 1);
    CHECK(m_replies.front().outcome == ClientReply::Isolated);
}

// Guards against a state that goes back: another node has shown the job as done.
TEST_CASE_METHOD(PresentClaimFixture,
                 "Leader that was frozen does not show a job as running that has ended since",
                 "[cell][presentclaim]")
{
    const JobId job = m_cell.submit(1, Small, Duration(500));
    m_cell.run(Duration(200));
    REQUIRE(m_cell.stateOf(job) == JobState::Running);
    freezeAndReplace();
    REQUIRE(reachesState(job, JobState::Done));
    callFormer(ClientCall::Status, pathOf(job));
    thawFormer();
    REQUIRE(m_replies.size() == 1);
    CHECK(m_replies.front().outcome == ClientReply::Isolated);
}

// Guards against a number of waiting jobs that is seconds old.
TEST_CASE_METHOD(PresentClaimFixture, "Leader that was frozen shows no number of waiting jobs",
                 "[cell][presentclaim]")
{
    freezeAndReplace();
    callFormer(ClientCall::Status, "/queue/");
    thawFormer();
    REQUIRE(m_replies.size() == 1);
    CHECK(m_replies.front().outcome == ClientReply::Isolated);
}

// A submission that was in no commit can be passed on; it got no answer before.
TEST_CASE_METHOD(PresentClaimFixture, "Leader that was frozen passes a submission back unstored",
                 "[cell][presentclaim]")
{
    freezeAndReplace();
    callFormer(ClientCall::Submit, pathOf(UnknownJob));
    thawFormer();
    REQUIRE(m_replies.size() == 1);
    CHECK(m_replies.front().outcome == ClientReply::Isolated);
    CHECK(m_cell.call(ClientCall::Status, UnknownJob).outcome == ClientReply::NoSuchJob);
}

// Guards against the same denial after a partition, in the time in which it is not noticed yet.
TEST_CASE_METHOD(PresentClaimFixture, "Leader that is cut off from the store denies no job",
                 "[cell][presentclaim]")
{
    const auto kind = GENERATE(ClientCall::Cancel, ClientCall::Status);
    const auto delay = GENERATE(Duration(1), Duration(450), Duration(1500), Duration(2900));
    m_former.isCutFromStore = true;
    m_cell.run(delay);
    callFormer(kind, pathOf(UnknownJob));
    m_cell.run(Duration(1000));
    REQUIRE(m_replies.size() == 1);
    CHECK(m_replies.front().outcome == ClientReply::Unavailable);
    CHECK(m_replies.front().retryAfter > Duration(0));
}

TEST_CASE_METHOD(PresentClaimFixture, "Denials of an idle leader take 40 ms and share commits",
                 "[cell][presentclaim]")
{
    const std::size_t before = m_cell.store.commitCount;
    for (int count = 0; count < 50; ++count) {
        callFormer(ClientCall::Cancel, pathOf(UnknownJob));
        m_cell.run(Duration(1));
    }
    m_cell.run(Duration(40));
    CHECK(m_replies.size() == 50);
    for (const ClientReply &reply : m_replies)
        CHECK(reply.outcome == ClientReply::NoSuchJob);
    CHECK(m_cell.store.commitCount - before <= 4);
}

// Guards against denials that cost a busy leader commits of their own (less than 5% are allowed).
TEST_CASE_METHOD(PresentClaimFixture, "Denials of a busy leader share the commits of its records",
                 "[cell][presentclaim]")
{
    const auto commitsWith = [this](bool denies) {
        const std::size_t before = m_cell.store.commitCount;
        for (int count = 0; count < 200; ++count) {
            m_cell.submit(1, Small, Duration(100));
            if (denies)
                callFormer(ClientCall::Cancel, pathOf(UnknownJob));
            m_cell.run(Duration(20));
        }
        return m_cell.store.commitCount - before;
    };
    const std::size_t without = commitsWith(false);
    const std::size_t with = commitsWith(true);
    CHECK(m_replies.size() >= 198);
    CHECK(static_cast<double>(with) < 1.05 * static_cast<double>(without));
}

// CONFIG: a leader that could not read the configuration refused calls for a route that was added
// more than configApplyMs before.
TEST_CASE_METHOD(PresentClaimFixture,
                 "Leader without a recent configuration decides no call by an old one",
                 "[cell][presentclaim]")
{
    const bool isCut = GENERATE(false, true);
    m_former.isCutFromStore = isCut;
    m_former.losesOperatorReads = true;
    ++m_cell.configuration.version;
    m_cell.configuration.teams.front().keys = {"new key"};
    m_cell.configuration.queues.front().pathPrefix = "/new queue/";
    const Instant changedAt = m_cell.events.now();
    m_cell.run(Duration(300));
    callFormer(ClientCall::Cancel, "/new queue/" + UnknownJob.value());
    callFormer(ClientCall::Cancel, pathOf(UnknownJob), "new key");
    REQUIRE(m_replies.size() == 2);
    CHECK(m_replies[0].outcome == ClientReply::NoSuchQueue);
    CHECK(m_replies[1].outcome == ClientReply::UnknownKey);
    m_replies.clear();
    m_cell.run(std::chrono::duration_cast<Duration>(changedAt + m_cell.terms.configApply
                                                    - m_cell.events.now()));
    callFormer(ClientCall::Cancel, "/new queue/" + UnknownJob.value());
    callFormer(ClientCall::Cancel, pathOf(UnknownJob), "new key");
    callFormer(ClientCall::Submit, pathOf(UnknownJob));
    callFormer(ClientCall::Status, "/queue/");
    m_cell.run(Duration(100));
    REQUIRE(m_replies.size() == 4);
    for (const ClientReply &reply : m_replies) {
        CHECK(reply.outcome == ClientReply::Unavailable);
        CHECK(reply.retryAfter > Duration(0));
    }
}

// Guards against refusals of all calls after two lost answers to the reads of the configuration.
TEST_CASE_METHOD(PresentClaimFixture,
                 "Leader reads the configuration again before a lost answer makes it too old",
                 "[cell][presentclaim]")
{
    m_former.operatorReadsToLose = 2;
    for (int count = 0; count < 40; ++count) {
        callFormer(ClientCall::Status, "/queue/");
        m_cell.run(Duration(100));
    }
    CHECK(m_former.operatorReadsToLose == 0);
    CHECK(std::ranges::all_of(m_replies, [](const ClientReply &reply) {
        return reply.outcome == ClientReply::QueueShown;
    }));
}
