#include "Coordination/WorkerSession.h"

#include "Coordination/CommandRelay.h"

#include <glog/logging.h>

#include <algorithm>

namespace Cranberrymount {

namespace {

/** How long a worker may delay its report; it reports at once when a run ends. */
constexpr Duration MaxReportWait{1000};
/** While the claim can't be confirmed, leases are not extended. In their last second, reports are
 * requested this often, so that they are extended in time once the store is back. */
constexpr Duration MinReportWait{250};
constexpr Duration LastLeasePart{1000};
/** Workers' clocks may run 2% slow; from the platform's documentation of leases. */
constexpr double SlowClockFactor = 1.02;
/** Time that a command may spend in transit before the worker starts to count the lease. */
constexpr Duration CommandTransitTime{300};
/** A worker that ends takes longer than this to restart under the same id. */
constexpr Duration MinRestartTime{500};
/** If the worker's last response is older, an acknowledgement may reach another incarnation. */
constexpr Duration MaxAcknowledgementAge = MinRestartTime - CommandRelay::MaxCommandDelay;
/** Delays between calls to an unresponsive worker, growing from the first to the maximum. */
constexpr Duration FirstRetryDelay{100};
constexpr Duration MaxRetryDelay{500};
/** Pause after a refusal; doubles with each refusal up to the maximum. */
constexpr Duration FirstRefusalPause{5000};
constexpr Duration MaxRefusalPause{60'000};

} // namespace

WorkerSession::WorkerSession(WorkerCommands &commands, TimerService &timers, CellWorker worker,
                             LeaseTerms terms, Observer observer)
    : m_commands(commands)
    , m_timers(timers)
    , m_worker(std::move(worker))
    , m_terms(terms)
    , m_observer(std::move(observer))
{
}

CommandTarget WorkerSession::commandAddress() const
{
    return {m_worker.address, m_worker.incarnation.id, m_terms.epoch, m_worker.zone};
}

Instant WorkerSession::leaseExpiry(Instant given, Duration length)
{
    return given
        + Duration(static_cast<int64_t>(static_cast<double>(length.count()) * SlowClockFactor))
        + CommandTransitTime;
}

Instant WorkerSession::allLeasesExpireAt() const
{
    return std::max(m_leaseExpiry, m_terms.inheritedExpiry);
}

Instant WorkerSession::nextIncarnationLeasesExpireAt() const
{
    return std::max(allLeasesExpireAt(), leaseExpiry(m_lastLeaseExtension, m_terms.longest));
}

Duration WorkerSession::reportWait() const
{
    const auto left = std::chrono::duration_cast<Duration>(m_leaseEnd - m_timers.now());
    if (left <= Duration(0))
        return MaxReportWait;
    return std::clamp(left - LastLeasePart, MinReportWait, MaxReportWait);
}

WorkerClock WorkerSession::newLeaseEnd(Duration length)
{
    m_lastLeaseExtension = m_timers.now();
    m_leaseEnd = std::max(m_leaseEnd, m_lastLeaseExtension + length);
    m_leaseExpiry = std::max(m_leaseExpiry, leaseExpiry(m_lastLeaseExtension, length));
    const auto elapsed = std::chrono::duration_cast<Duration>(m_lastLeaseExtension - m_clockReadAt);
    return WorkerClock(m_clock.value() + static_cast<uint64_t>(elapsed.count())
                       + static_cast<uint64_t>(length.count()));
}

void WorkerSession::requestReport()
{
    if (m_isHoldInFlight || m_isEnded || m_timers.now() < m_pausedUntil)
        return;
    if (!m_observer.mayRequestReports())
        return m_timers.after(FirstRetryDelay, [this] { requestReport(); });
    hold();
}

void WorkerSession::handleRefusal()
{
    const Instant now = m_timers.now();
    m_refusedAt = now;
    if (now >= m_pausedUntil) {
        const Duration pause = exponentialBackoff(FirstRefusalPause, m_refusals, MaxRefusalPause);
        ++m_refusals;
        m_pausedUntil = now + pause;
        m_timers.after(pause, [this] { requestReport(); });
    }
    setReachable(false);
    m_observer.refused(*this);
}

void WorkerSession::hold()
{
    m_isHoldInFlight = true;
    HoldCall call;
    call.to = commandAddress();
    // After a loss of contact another incarnation may answer, which numbers its ends anew.
    const bool isSameIncarnation =
        m_isReachable && m_timers.now() - m_respondedAt < MaxAcknowledgementAge;
    call.acknowledgedEnds = isSameIncarnation ? m_acknowledged : 0;
    m_sentAcknowledgement = std::max(m_sentAcknowledgement, call.acknowledgedEnds);
    if (m_isReachable) {
        const Duration lease = m_observer.grantableLease();
        if (lease > Duration(0))
            call.leaseUntil = newLeaseEnd(lease);
        call.wait = reportWait();
    }
    const Instant sentAt = m_timers.now();
    m_commands.hold(std::move(call),
                    [this, sentAt, alive = std::weak_ptr(m_alive)](const HoldReply &reply) {
                        if (!alive.expired())
                            handleReply(reply, sentAt);
                    });
}

void WorkerSession::handleReply(const HoldReply &reply, Instant sentAt)
{
    m_isHoldInFlight = false;
    if (m_isEnded)
        return;
    if (reply.outcome == HoldReply::Fenced)
        return handleRefusal();
    const bool isOtherIncarnation = reply.outcome == HoldReply::OtherIncarnation
        || (reply.outcome == HoldReply::Answered && reply.startedAtMs != 0
            && m_worker.incarnation.startedAtMs != 0
            && reply.startedAtMs != m_worker.incarnation.startedAtMs);
    if (isOtherIncarnation) {
        m_isEnded = true;
        m_isReachable = false;
        return m_observer.ended(*this, reply);
    }
    if (reply.outcome == HoldReply::Unreachable) {
        setReachable(false);
        ++m_consecutiveFailures;
        const Duration pause =
            std::min(FirstRetryDelay * static_cast<int>(m_consecutiveFailures), MaxRetryDelay);
        return m_timers.after(pause, [this] { requestReport(); });
    }
    // A later command was refused; the worker lists its ends again.
    if (sentAt <= m_refusedAt)
        return requestReport();
    m_consecutiveFailures = 0;
    m_isForeign = false;
    // The response may have waited on its way. The worker sent it after the request, and at least
    // as long after the response before as its clock, which may be slow, has advanced.
    const bool isFirst = m_respondedAt == Instant();
    const Duration advanced(static_cast<int64_t>(reply.clock.value() - m_clock.value()));
    m_respondedAt = isFirst ? sentAt : std::max(sentAt, m_respondedAt + advanced);
    m_clock = reply.clock;
    // The worker read its clock before now, so counting from the arrival of its response can only
    // shorten leases.
    m_clockReadAt = m_timers.now();
    setReachable(true);
    m_observer.report(*this, reply, sentAt);
}

void WorkerSession::setReachable(bool isReachable)
{
    if (m_isReachable == isReachable)
        return;
    m_isReachable = isReachable;
    m_observer.reachabilityChanged(*this, isReachable);
}

} // namespace Cranberrymount
