#include "CellSimulation.h"

#include <algorithm>
#include <random>

namespace Cranberrymount {

namespace {

constexpr Duration CallTimeout{500};
/** Timeout of a call to an unresponsive store, as in the platform's client. */
constexpr Duration UnresponsiveStoreTimeout{1000};
constexpr Duration ProbeTimeout{300};

} // namespace

CellStore::CellStore(EventQueue &events, uint64_t seed)
    : m_events(events)
    , m_random(seed)
{
}

void CellStore::hang(Duration timeout, std::function<void()> done)
{
    maxHangingCalls = std::max(maxHangingCalls, ++hangingCalls);
    m_events.at(m_events.now() + timeout, [this, done = std::move(done)] {
        --hangingCalls;
        done();
    });
}

void CellStore::probe(std::function<void(bool answers)> done)
{
    if (isUnresponsive)
        return hang(ProbeTimeout, [done = std::move(done)] { done(false); });
    m_events.at(m_events.now() + latency, [this, done = std::move(done)] { done(!isDown); });
}

void CellStore::list(const std::string &prefix, std::function<void(StoreRead)> done)
{
    if (isUnresponsive)
        return hang(UnresponsiveStoreTimeout, [done = std::move(done)] { done({}); });
    m_events.at(m_events.now() + latency, [this, prefix, done = std::move(done)] {
        StoreRead read;
        read.answered = !isDown;
        if (!isDown)
            read.entries = m_contents.list(prefix);
        done(std::move(read));
    });
}

void CellStore::commit(StoreTransaction transaction, std::function<void(CommitResult)> done)
{
    if (isUnresponsive)
        return hang(UnresponsiveStoreTimeout, [done = std::move(done)] {
            done({CommitResult::Unknown, {}, {}});
        });
    if (isDown) {
        m_events.at(m_events.now() + latency, [done = std::move(done)] {
            done({CommitResult::NotDone, {}, {}});
        });
        return;
    }
    const auto leaveUnanswered = [this, done] {
        m_events.at(m_events.now() + CallTimeout, [done] {
            done({CommitResult::Unknown, {}, {}});
        });
    };
    if (dropsCommit && dropsCommit(transaction))
        return leaveUnanswered();
    const bool isLost = std::uniform_real_distribution<double>(0, 1)(m_random) < lostResponseRate;
    if (!isLost) {
        m_events.at(m_events.now() + latency,
                    [this, transaction = std::move(transaction), done = std::move(done)] {
                        done(apply(transaction));
                    });
        return;
    }
    const Duration executionDelay(
        std::uniform_int_distribution<int>(static_cast<int>(minExecutionDelay.count()),
                                           static_cast<int>(maxExecutionDelay.count()))(m_random));
    m_events.at(m_events.now() + executionDelay,
                [this, transaction = std::move(transaction)] { apply(transaction); });
    leaveUnanswered();
}

CommitResult CellStore::apply(const StoreTransaction &transaction)
{
    CommitResult result = m_contents.apply(transaction);
    commitCount += result.outcome == CommitResult::Committed ? 1 : 0;
    return result;
}

void CellStore::createLease(Duration, std::function<void(StoreLease)> done)
{
    done({true, true, StoreLeaseId(1)});
}

void CellStore::renewLease(StoreLeaseId id, std::function<void(StoreLease)> done)
{
    done({true, true, id});
}

} // namespace Cranberrymount
