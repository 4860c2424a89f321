#include "Coordination/CellScheduler.h"

#include <glog/logging.h>

#include <algorithm>
#include <cctype>

namespace Cranberrymount {

namespace {

/** When callers may retry after a refusal because of a store outage; outages last seconds. */
constexpr Duration StoreOutageRetryAfter{1000};
/** A leader whose claim was not confirmed for this long answers no call from memory. */
constexpr Duration MaxUnconfirmed{3000};
/** A team may accumulate its unused fair share for this long, so that shorter bursts are not
 * throttled. */
constexpr std::chrono::duration<double> ShareBurstWindow{2.0};
/** Maximum number of waiting jobs that are over their team's fair share; a pool with free capacity
 * starts them within seconds. */
constexpr std::size_t MaxPendingOverShare = 24;
/** Nothing is accepted while a commit has waited for longer: its caller may not get an answer in
 * time, and confirmations keep their order. */
constexpr Duration MaxCommitAge{800};
/** A call waits this long for the proof of the claim: its caller may not get an answer in time, as
 * with MaxCommitAge. */
constexpr Duration MaxProofWait{800};
/** After the process has stood still, what has arrived meanwhile is read within this time. */
constexpr Duration MaxProofReadTime{100};
constexpr std::size_t JobIdLength = 16;

ClientReply makeUnavailable(const char *detail)
{
    ClientReply reply;
    reply.outcome = ClientReply::Unavailable;
    reply.retryAfter = StoreOutageRetryAfter;
    reply.detail = detail;
    return reply;
}

ClientReply makeReply(ClientReply::Outcome outcome, const char *detail = "")
{
    ClientReply reply;
    reply.outcome = outcome;
    reply.detail = detail;
    return reply;
}

bool isJobId(const std::string &text)
{
    return text.size() == JobIdLength && std::ranges::all_of(text, [](unsigned char character) {
               return std::isxdigit(character) != 0;
           });
}

} // namespace

bool CellScheduler::isConfirmationStale() const
{
    // While the store accepts commits, a doubt is over within milliseconds.
    return claimAge() > MaxUnconfirmed || (isClaimInDoubt() && !m_isStoreReachable);
}

bool CellScheduler::canWriteSoon() const
{
    return m_isStoreReachable && m_journal->oldestCommitAge() < MaxCommitAge;
}

void CellScheduler::handle(ClientCall call, ClientResponder respond)
{
    if (!m_isReady || m_isSuperseded) {
        // Only the journal, which is not read yet, says whether an earlier try stored the job.
        const bool mayBeKnown = call.kind == ClientCall::Submit;
        return respond(mayBeKnown ? makeReply(
                           ClientReply::Undetermined,
                           "the scheduler is not ready; an earlier try may have stored the job")
                                  : makeUnavailable("the cell has no scheduler at the moment"));
    }
    observeActivity();
    serve({std::move(call), std::move(respond), m_timers.now()});
}

void CellScheduler::serve(PendingCall pending)
{
    const ClientCall &call = pending.call;
    const ClientResponder &respond = pending.respond;
    const std::string host = call.host.substr(0, call.host.find(':'));
    const QueueSettings *queue = m_configuration.route(host, call.path);
    const TeamSettings *team = m_configuration.teamOfKey(call.key);
    if (queue && (team || queue->isOpenToAll) && call.kind == ClientCall::Submit) {
        // A refusal promises that the job never runs. That is false if an earlier try has stored
        // the job or its record is in flight to the store.
        const JobId id(call.path.substr(queue->pathPrefix.size()));
        const auto beingWritten = m_unwrittenSubmissions.find(id);
        if (beingWritten != m_unwrittenSubmissions.end()) {
            beingWritten->second.push_back(respond);
            return;
        }
        if (m_jobs.find(id))
            return respond(makeReply(ClientReply::Accepted));
    }
    if (m_isQuiescing)
        return respond(makeUnavailable("the scheduler is moving to another node"));
    if (mayBeReplaced() && !isProven(pending))
        return awaitProof(std::move(pending));
    if (isConfirmationStale())
        return respond(makeUnavailable("the store cannot be reached"));
    if (!isConfigurationRecent())
        return respond(makeUnavailable("the configuration cannot be read"));
    if (!queue)
        return respond(makeReply(ClientReply::NoSuchQueue, "no queue has this host and path"));
    if (!team && !queue->isOpenToAll) {
        LOG_EVENT(m_dependencies.log, "call_unauthorized")
            << "path=" << call.path << " configuration=" << m_configuration.version;
        return respond(makeReply(ClientReply::UnknownKey, "the key belongs to no team"));
    }
    const std::string name = call.path.substr(queue->pathPrefix.size());
    if (name.empty() && call.kind == ClientCall::Status) {
        if (!isProven(pending))
            return awaitProof(std::move(pending));
        ClientReply reply = makeReply(ClientReply::QueueShown);
        reply.pending = m_jobs.pendingCount(queue->id);
        return respond(reply);
    }
    if (!isJobId(name))
        return respond(makeReply(ClientReply::Malformed, "a job's id has 16 hexadecimal digits"));
    const JobId id(name);
    switch (call.kind) {
    case ClientCall::Submit:
        return submit(*queue, team ? team->id : TeamId(), id, std::move(pending));
    case ClientCall::Cancel:
        return cancel(id, std::move(pending));
    case ClientCall::Status:
        return showState(id, std::move(pending));
    }
}

void CellScheduler::showState(const JobId &id, PendingCall pending)
{
    // A job whose record is in flight to the store may exist by the time the caller gets the reply.
    if (m_unwrittenSubmissions.contains(id))
        return pending.respond(makeUnavailable("the job is being stored"));
    const JobRecord *job = m_jobs.find(id);
    if (!job && !isProven(pending))
        return awaitProof(std::move(pending));
    if (!job)
        return pending.respond(makeReply(ClientReply::NoSuchJob, "no such job"));
    ClientReply reply = makeReply(ClientReply::JobShown);
    reply.state = job->state;
    pending.respond(reply);
}

bool CellScheduler::isProven(const PendingCall &pending) const
{
    return m_journal->claimHeldAt() > pending.arrivedAt;
}

bool CellScheduler::mayBeReplaced() const
{
    return isClaimInDoubt() || m_journal->claimHeldAt() <= m_resumedAt;
}

bool CellScheduler::isConfigurationRecent() const
{
    // A change that the last read has not shown was made after that read was sent.
    return m_timers.now() - m_operatorsReadAt < m_terms.configApply;
}

void CellScheduler::awaitProof(PendingCall pending)
{
    if (!m_isStoreReachable)
        return refuseUnproven(pending);
    m_dependencies.count("calls_awaiting_proof", 1);
    m_unprovenCalls.push_back(std::move(pending));
    m_journal->requestConfirmation();
}

std::vector<CellScheduler::PendingCall> CellScheduler::takeUnproven(Instant time)
{
    std::vector<PendingCall> taken;
    while (!m_unprovenCalls.empty() && m_unprovenCalls.front().arrivedAt < time) {
        taken.push_back(std::move(m_unprovenCalls.front()));
        m_unprovenCalls.pop_front();
    }
    return taken;
}

void CellScheduler::serveProvenCalls()
{
    if (m_isSuperseded)
        return;
    for (PendingCall &pending : takeUnproven(m_journal->claimHeldAt()))
        serve(std::move(pending));
}

void CellScheduler::refuseUnproven(const PendingCall &pending)
{
    m_dependencies.count("calls_without_proof", 1);
    constexpr const char *Detail = "the leadership claim could not be confirmed in time";
    // A refusal promises that the job never runs, but the next leader may have stored it.
    pending.respond(pending.call.kind == ClientCall::Submit
                        ? makeReply(ClientReply::Undetermined, Detail)
                        : makeUnavailable(Detail));
}

void CellScheduler::refuseUnprovenCalls()
{
    // After a standstill the proof may have arrived, but not been read.
    if (m_isSuperseded || m_timers.now() - m_resumedAt < MaxProofReadTime)
        return;
    const Instant limit = m_isStoreReachable ? m_timers.now() - MaxProofWait : Instant::max();
    for (const PendingCall &pending : takeUnproven(limit))
        refuseUnproven(pending);
}

void CellScheduler::returnUnprovenCalls()
{
    ClientReply reply = makeReply(ClientReply::Isolated, "another node leads");
    reply.retryAfter = StoreOutageRetryAfter;
    for (const PendingCall &pending : takeUnproven(Instant::max()))
        pending.respond(reply);
}

void CellScheduler::submit(const QueueSettings &queue, const TeamId &team, const JobId &id,
                           PendingCall pending)
{
    const ClientResponder &respond = pending.respond;
    if (!canWriteSoon())
        return respond(makeUnavailable("the store does not answer; the job was not stored"));
    JobAccepted record;
    record.job = id;
    record.queue = queue.id;
    record.team = team;
    record.pool = queue.pool;
    record.acceptedAt = m_dependencies.wallClock();
    record.maxAttempts = queue.maxAttempts;
    record.isOverFairShare = isOverFairShare(team);
    if (record.isOverFairShare && m_jobs.pendingOverFairShare() >= MaxPendingOverShare) {
        if (!isProven(pending))
            return awaitProof(std::move(pending));
        LOG_EVENT(m_dependencies.log, "job_refused")
            << "job=" << id.value() << " team=" << team.value()
            << " why=beyond_share waiting=" << m_jobs.pendingOverFairShare()
            << " configuration=" << m_configuration.version;
        m_dependencies.count("jobs_refused", 1);
        ClientReply reply = makeReply(ClientReply::TooBusy, "the team is over its fair share");
        reply.retryAfter = m_returns.recordRefusal(
            team, id, m_configuration.findTeam(team)->jobsPerSecond, m_timers.now());
        return respond(reply);
    }
    m_returns.recordAdmission(team, id);
    record.spec = std::move(pending.call.spec);
    m_unwrittenSubmissions[id].push_back(std::move(pending.respond));
    LOG_EVENT(m_dependencies.log, "job_received")
        << "job=" << id.value() << " queue=" << queue.id.value() << " team=" << team.value()
        << " steps=" << record.spec.steps.size()
        << " first_step_tasks=" << record.spec.steps.front().taskCount
        << " beyond_share=" << record.isOverFairShare
        << " configuration=" << m_configuration.version << " epoch=" << m_epoch.value();
    // The job's tasks may be placed before its record is written: a start command is sent only
    // after the assignment is written, and the journal writes the assignment after this record.
    m_jobs.apply(record, record.acceptedAt);
    m_journal->append(record, [this, id] {
        LOG_EVENT(m_dependencies.log, "job_accepted") << "job=" << id.value();
        m_dependencies.count("jobs_accepted", 1);
        const auto node = m_unwrittenSubmissions.extract(id);
        for (const ClientResponder &waiter : node.mapped())
            waiter(makeReply(ClientReply::Accepted));
    });
    scheduleDispatch();
}

void CellScheduler::refuseUnsentSubmissions()
{
    if (m_isSuperseded || canWriteSoon())
        return;
    for (const JobId &id : m_journal->withdrawUnsent()) {
        // Its runs were only planned: no start command is sent before the assignment is written.
        for (auto run = m_runs.lower_bound({id, 0, 0, 0});
             run != m_runs.end() && run->first.job == id;)
            removeRun(run++);
        m_jobs.discard(id);
        forgetDecisions(id);
        LOG_EVENT(m_dependencies.log, "job_refused")
            << "job=" << id.value()
            << " why=store_silent store_age_ms=" << timeSinceStoreConfirmation().count()
            << " commit_age_ms=" << m_journal->oldestCommitAge().count();
        m_dependencies.count("jobs_refused", 1);
        const auto node = m_unwrittenSubmissions.extract(id);
        if (node.empty())
            continue;
        for (const ClientResponder &waiter : node.mapped())
            waiter(makeUnavailable("the store does not answer; the job was not stored"));
    }
}

void CellScheduler::cancel(const JobId &id, PendingCall pending)
{
    const ClientResponder &respond = pending.respond;
    if (m_unwrittenSubmissions.contains(id))
        return respond(makeUnavailable("the job is being stored"));
    const JobRecord *job = m_jobs.find(id);
    // The record of an open job's cancellation is a proof of its own.
    if ((!job || job->isOver()) && !isProven(pending))
        return awaitProof(std::move(pending));
    if (!job)
        return respond(makeReply(ClientReply::NoSuchJob, "no such job"));
    if (job->isOver())
        return respond(makeReply(ClientReply::Cancelled));
    if (!canWriteSoon())
        return respond(makeUnavailable("the store does not answer"));
    const auto onWritten = [this, id, respond] {
        m_jobs.apply(JobCancelled{id}, m_dependencies.wallClock());
        LOG_EVENT(m_dependencies.log, "job_cancelled") << "job=" << id.value();
        forgetDecisions(id);
        respond(makeReply(ClientReply::Cancelled));
        stopRunsOfEndedJobs();
        scheduleDispatch();
    };
    m_journal->append(JobCancelled{id}, onWritten, [respond] {
        respond(makeUnavailable("the store does not answer; the job was not cancelled"));
    });
}

bool CellScheduler::isOverFairShare(const TeamId &team)
{
    const TeamSettings *settings = m_configuration.findTeam(team);
    if (!settings || settings->jobsPerSecond <= 0)
        return false;
    const Instant now = m_timers.now();
    const double maxTokens = settings->jobsPerSecond * ShareBurstWindow.count();
    const auto [position, isNew] = m_shareBuckets.try_emplace(team, ShareBucket{maxTokens, now});
    ShareBucket &bucket = position->second;
    const std::chrono::duration<double> passed = now - bucket.filledAt;
    bucket.tokens = std::min(maxTokens, bucket.tokens + settings->jobsPerSecond * passed.count());
    bucket.filledAt = now;
    if (bucket.tokens < 1)
        return true;
    bucket.tokens -= 1;
    return false;
}

} // namespace Cranberrymount
