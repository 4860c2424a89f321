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
        for (const auto &[key, entry] : m_values) {
            if (!isDown && key.starts_with(prefix))
                read.entries.push_back(entry);
        }
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
    CommitResult result{CommitResult::Committed, {}, {}};
    for (const auto &condition : transaction.conditions) {
        const auto found = m_values.find(condition.key);
        const Revision currentRevision =
            found == m_values.end() ? Revision() : found->second.revision;
        if (currentRevision != condition.revision)
            result.outcome = CommitResult::Conflict;
        if (found != m_values.end())
            result.current.push_back(found->second);
    }
    if (result.outcome == CommitResult::Conflict)
        return result;
    ++commitCount;
    result.revision = Revision(++m_revision);
    for (const auto &put : transaction.puts)
        m_values[put.key] = {put.key, put.value, result.revision};
    for (const std::string &key : transaction.removals)
        m_values.erase(key);
    return result;
}

Revision CellStore::claim(const std::string &holder)
{
    m_values[LeaderKey] = {LeaderKey, holder, Revision(++m_revision)};
    return Revision(m_revision);
}

std::size_t CellStore::keyCount(const std::string &prefix) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_values, [&prefix](const auto &entry) { return entry.first.starts_with(prefix); }));
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
