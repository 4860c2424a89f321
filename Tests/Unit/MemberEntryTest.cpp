// The entry of a member stays in the store as long as the member renews its lease.

#include "MemoryStore.h"

#include "Coordination/Leadership.h"
#include "Coordination/PeerHub.h"
#include "Transport/AsioTimerService.h"

#include <catch2/catch.hpp>

using namespace Cranberrymount;

namespace {

/** A member whose first entry the store writes late, without an answer. */
class LateEntryFixture : public TransactionalStore
{
protected:
    void run(Duration time) { m_events.runUntil(m_events.now() + time); }

    void list(const std::string &, std::function<void(StoreRead)> done) override { done({}); }
    void probe(std::function<void(bool)>) override { }
    void commit(StoreTransaction transaction, std::function<void(CommitResult)> done) override
    {
        const StoreLeaseId lease = transaction.puts.front().lease;
        if (++m_commits > 1) {
            m_entryLease = lease;
            return done({CommitResult::Committed, Revision(2), {}});
        }
        m_events.at(m_events.now() + Duration(1000), [done] {
            done({CommitResult::Unknown, {}, {}});
        });
        m_events.at(m_events.now() + Duration(6000), [this, lease] { m_entryLease = lease; });
    }
    void createLease(Duration, std::function<void(StoreLease)> done) override
    {
        done({true, true, StoreLeaseId(++m_leases)});
    }
    void renewLease(StoreLeaseId id, std::function<void(StoreLease)> done) override
    {
        m_renewed = id;
        done({true, true, id});
    }

    std::size_t m_commits = 0;
    uint64_t m_leases = 0;
    /** The lease of the entry in the store, and the one that was renewed last. */
    StoreLeaseId m_entryLease;
    StoreLeaseId m_renewed;
    EventQueue m_events;
    EventQueueTimers m_timers{m_events};
    asio::io_context m_context{1};
    AsioTimerService m_peerTimers{m_context};
    PeerHub m_peers{m_context,
                    m_peerTimers,
                    {EntryId("n"), CpuMillis(1000), {}},
                    {"127.0.0.1", 0},
                    PeerHub::Handlers{}};
    Leadership m_leadership{*this,
                            m_timers,
                            m_peers,
                            {EntryId("n"), {"127.0.0.1", 2}, CpuMillis(1000)},
                            [] { return 0.5; },
                            {}};
};

} // namespace

// Guards against a member that vanishes from the list for as long as it runs: its entry, written
// late, had a lease that it had given up for another one.
TEST_CASE_METHOD(LateEntryFixture, "Member entry that is written late has the renewed lease",
                 "[leadership]")
{
    m_leadership.begin();
    run(Duration(20'000));
    REQUIRE(m_commits > 1);
    CHECK(m_entryLease == m_renewed);
}
