#include "Coordination/WorkerSession.h"

#include "Coordination/OrderRelay.h"

#include <glog/logging.h>

namespace Cranberrymount {

namespace {

/** A worker answers at once when a run ends; otherwise it is looked at this often. */
constexpr Duration ReportWait{1000};
/** Workers' clocks may run 2% slow; from the users' page on leases. */
constexpr double SlowClockFactor = 1.02;
/** Time that an order may spend on its way before its lease is counted. */
constexpr Duration LeaseSlack{300};
/** A worker that ends takes longer than this to come back under its id. */
constexpr Duration ShortestRestart{500};
/** An answer that is older does not prove that an acknowledgement reaches the same life. */
constexpr Duration LongestSinceAnswer = ShortestRestart - OrderRelay::LatestOrder;
/** Pauses between calls to a worker that does not answer. */
constexpr Duration FirstPause{100};
constexpr Duration LongestPause{500};

} // namespace

WorkerSession::WorkerSession(WorkerOrders &orders, TimerService &timers, CellWorker worker,
                             LeaseTerms terms, Observer observer)
    : m_orders(orders)
    , m_timers(timers)
    , m_worker(std::move(worker))
    , m_terms(terms)
    , m_observer(std::move(observer))
{
}

void WorkerSession::begin()
{
    hold();
}

OrderAddress WorkerSession::orderAddress() const
{
    return {m_worker.address, m_worker.life.id, m_terms.epoch, m_worker.zone};
}

Instant WorkerSession::leaseOver(Instant given, Duration length)
{
    return given
        + Duration(static_cast<int64_t>(static_cast<double>(length.count()) * SlowClockFactor))
        + LeaseSlack;
}

Instant WorkerSession::leasesOverAt() const
{
    return leaseOver(std::max(m_lastExtension, m_terms.inheritedUntil), m_terms.length);
}

WorkerClock WorkerSession::leaseEnd()
{
    m_lastExtension = m_timers.now();
    const auto elapsed = std::chrono::duration_cast<Duration>(m_lastExtension - m_clockReadAt);
    return WorkerClock(m_clock.value() + static_cast<uint64_t>(elapsed.count())
                       + static_cast<uint64_t>(m_terms.length.count()));
}

void WorkerSession::resume()
{
    if (!m_isHolding && !m_isOver)
        hold();
}

void WorkerSession::hold()
{
    m_isHolding = true;
    HoldCall call;
    call.to = orderAddress();
    // After a break another life may answer, whose ends have numbers of their own.
    const bool isSameLife = m_isReachable && m_timers.now() - m_clockReadAt < LongestSinceAnswer;
    call.acknowledgedEnds = isSameLife ? m_acknowledged : 0;
    // A call that is carried out late must not extend a lease that is counted as over.
    if (m_isReachable && m_observer.mayExtend()) {
        call.leaseUntil = leaseEnd();
        call.wait = ReportWait;
    }
    const Instant sentAt = m_timers.now();
    m_orders.hold(std::move(call),
                  [this, sentAt, alive = std::weak_ptr(m_alive)](const HoldReply &reply) {
                      if (!alive.expired())
                          handleReply(reply, sentAt);
                  });
}

void WorkerSession::handleReply(const HoldReply &reply, Instant sentAt)
{
    m_isHolding = false;
    if (m_isOver)
        return;
    if (reply.outcome == HoldReply::Fenced)
        return m_observer.fenced();
    const bool isOtherLife = reply.outcome == HoldReply::OtherLife
        || (reply.outcome == HoldReply::Answered && reply.bornMs != 0 && m_worker.life.bornMs != 0
            && reply.bornMs != m_worker.life.bornMs);
    if (isOtherLife) {
        m_isOver = true;
        m_isReachable = false;
        return m_observer.ended(*this);
    }
    if (reply.outcome == HoldReply::Unreachable) {
        setReachable(false);
        ++m_failures;
        const Duration pause = std::min(FirstPause * static_cast<int>(m_failures), LongestPause);
        return m_timers.after(pause, [this] { resume(); });
    }
    m_failures = 0;
    m_clock = reply.clock;
    // The worker read its clock no later than now; counting from its answer only shortens leases.
    m_clockReadAt = m_timers.now();
    setReachable(true);
    m_observer.report(*this, reply, sentAt);
}

void WorkerSession::setReachable(bool isReachable)
{
    if (m_isReachable == isReachable)
        return;
    m_isReachable = isReachable;
    m_observer.reachability(*this, isReachable);
}

} // namespace Cranberrymount
