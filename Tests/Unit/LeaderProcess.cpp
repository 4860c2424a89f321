#include "CellSimulation.h"

namespace Cranberrymount {

namespace {

constexpr Duration CallTimeout{500};
/** Timeout of a call to an unresponsive store, as in the platform's client. */
constexpr Duration UnresponsiveStoreTimeout{1000};
constexpr Duration ProbeTimeout{300};

} // namespace

LeaderProcess::LeaderProcess(TimerService &timers, TransactionalStore &store,
                             WorkerCommands &commands, OperatorSource &operators)
    : m_timers(timers)
    , m_store(store)
    , m_commands(commands)
    , m_operators(operators)
{
}

void LeaderProcess::deliver(std::function<void()> callback)
{
    if (m_isFrozen)
        m_delayed.push_back(std::move(callback));
    else
        callback();
}

void LeaderProcess::thaw()
{
    m_isFrozen = false;
    // A callback may freeze the process again.
    while (!m_isFrozen && !m_delayed.empty()) {
        const std::function<void()> callback = std::move(m_delayed.front());
        m_delayed.pop_front();
        callback();
    }
}

template <typename Reply>
std::function<void(Reply)> LeaderProcess::delivering(std::function<void(Reply)> done)
{
    return [this, done = std::move(done)](Reply reply) {
        deliver([done, reply = std::move(reply)] { done(reply); });
    };
}

template <typename Reply>
bool LeaderProcess::failsToReach(const CommandTarget &to, const std::function<void(Reply)> &done)
{
    if (!unreachable.contains(to.worker))
        return false;
    after(CallTimeout, [done] { done(Reply()); });
    return true;
}

void LeaderProcess::after(Duration delay, std::function<void()> callback)
{
    m_timers.after(delay, [this, callback = std::move(callback)] { deliver(callback); });
}

void LeaderProcess::list(const std::string &prefix, std::function<void(StoreRead)> done)
{
    if (isCutFromStore)
        return after(UnresponsiveStoreTimeout, [done = std::move(done)] { done({}); });
    m_store.list(prefix, delivering(std::move(done)));
}

void LeaderProcess::probe(std::function<void(bool answers)> done)
{
    if (isCutFromStore)
        return after(ProbeTimeout, [done = std::move(done)] { done(false); });
    m_store.probe(delivering(std::move(done)));
}

void LeaderProcess::commit(StoreTransaction transaction, std::function<void(CommitResult)> done)
{
    if (isCutFromStore)
        return after(UnresponsiveStoreTimeout, [done = std::move(done)] {
            done({CommitResult::Unknown, {}, {}});
        });
    done = delivering(std::move(done));
    if (commitResponseDelay == Duration(0))
        return m_store.commit(std::move(transaction), std::move(done));
    m_store.commit(std::move(transaction), [this, done = std::move(done)](CommitResult result) {
        m_timers.after(commitResponseDelay, [done, result = std::move(result)] { done(result); });
    });
}

void LeaderProcess::createLease(Duration ttl, std::function<void(StoreLease)> done)
{
    m_store.createLease(ttl, delivering(std::move(done)));
}

void LeaderProcess::renewLease(StoreLeaseId id, std::function<void(StoreLease)> done)
{
    m_store.renewLease(id, delivering(std::move(done)));
}

void LeaderProcess::hold(HoldCall call, std::function<void(HoldReply)> done)
{
    ++commandsSent;
    done = delivering(std::move(done));
    if (!failsToReach(call.to, done))
        m_commands.hold(std::move(call), std::move(done));
}

void LeaderProcess::start(StartCall call, std::function<void(StartReply)> done)
{
    ++commandsSent;
    ++startsSent;
    done = delivering(std::move(done));
    if (failsToReach(call.to, done))
        return;
    if (startDelay == Duration(0))
        return m_commands.start(std::move(call), std::move(done));
    m_timers.after(startDelay, [this, call = std::move(call), done = std::move(done)] {
        m_commands.start(call, done);
    });
}

void LeaderProcess::stop(StopCall call, std::function<void(StopReply)> done)
{
    ++commandsSent;
    done = delivering(std::move(done));
    if (!failsToReach(call.to, done))
        m_commands.stop(std::move(call), std::move(done));
}

void LeaderProcess::readOperators(std::function<void(OperatorView)> done)
{
    if (operatorReadsToLose > 0)
        --operatorReadsToLose;
    else if (!isCutFromStore && !losesOperatorReads)
        return m_operators.readOperators(delivering(std::move(done)));
    after(UnresponsiveStoreTimeout, [done = std::move(done)] { done({}); });
}

void LeaderProcess::readWorkers(std::function<void(WorkerDirectory)> done)
{
    if (isCutFromStore)
        return after(UnresponsiveStoreTimeout, [done = std::move(done)] { done({}); });
    m_operators.readWorkers([this, done = std::move(done)](const WorkerDirectory &directory) {
        deliver([done, directory] { done(directory); });
    });
}

} // namespace Cranberrymount
