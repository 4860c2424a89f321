// The entry of a member stays in the store as long as the member renews its lease.

#include "MemberSurroundings.h"

#include <catch2/catch.hpp>

using namespace Cranberrymount;

namespace {

/** A member whose first entry the store writes late, without an answer. */
class LateEntryFixture : public TransactionalStore, protected MemberSurroundings
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
    Leadership m_leadership{*this, m_timers, m_resends, m_peers, member(), [] { return 0.5; }, {}};
};

/** A member at a store that loses two of three writes; its leases end as the platform's do. */
class LossyStoreFixture : public TransactionalStore, protected MemberSurroundings
{
protected:
    void run(Duration time) { m_events.runUntil(m_events.now() + time); }
    bool isListed() const { return m_entryLease && isAlive(*m_entryLease); }
    bool isAlive(StoreLeaseId lease) const
    {
        const auto end = m_leaseEnds.find(lease);
        return end != m_leaseEnds.end() && end->second > m_events.now();
    }

    void list(const std::string &, std::function<void(StoreRead)> done) override { done({}); }
    void probe(std::function<void(bool)>) override { }
    void commit(StoreTransaction transaction, std::function<void(CommitResult)> done) override
    {
        exchange<CommitResult>(
            [this, lease = transaction.puts.front().lease] {
                if (!isAlive(lease))
                    return CommitResult{CommitResult::LeaseEnded, {}, {}};
                m_entryLease = lease;
                return CommitResult{CommitResult::Committed, Revision(2), {}};
            },
            std::move(done));
    }
    void createLease(Duration ttl, std::function<void(StoreLease)> done) override
    {
        exchange<StoreLease>(
            [this, ttl] {
                const StoreLeaseId id(++m_leases);
                m_leaseEnds[id] = m_events.now() + ttl;
                return StoreLease{true, true, id};
            },
            std::move(done));
    }
    void renewLease(StoreLeaseId id, std::function<void(StoreLease)> done) override
    {
        exchange<StoreLease>(
            [this, id] {
                if (!isAlive(id))
                    return StoreLease{true, false, id};
                m_leaseEnds[id] = m_events.now() + Duration(8000);
                m_renewed = id;
                return StoreLease{true, true, id};
            },
            std::move(done));
    }

    /** The store is down: it answers nothing and executes nothing but earlier calls. */
    bool m_isDown = false;
    /** Calls that are lost are executed 1 to 6 s later; otherwise each second one is, at once. */
    bool m_executesLate = false;
    uint64_t m_calls = 0;
    uint64_t m_leases = 0;
    std::map<StoreLeaseId, Instant> m_leaseEnds;
    std::optional<StoreLeaseId> m_entryLease;
    StoreLeaseId m_renewed;
    Leadership m_leadership{*this, m_timers, m_resends, m_peers, member(), [] { return 0.5; }, {}};

private:
    template <typename Answer>
    void exchange(std::function<Answer()> serve, std::function<void(Answer)> done)
    {
        const uint64_t call = ++m_calls;
        if (!m_isDown && call % 3 == 0) {
            return m_events.at(m_events.now() + Duration(4), [serve, done] { done(serve()); });
        }
        m_events.at(m_events.now() + Duration(1000), [done] { done({}); });
        if (m_executesLate && !m_isDown)
            m_events.at(m_events.now() + Duration(1000 + call % 6 * 1000), [serve] { serve(); });
        else if (!m_isDown && call % 2 == 0)
            serve();
    }
};

} // namespace

// Guards against a member that leaves the list although the store is up: its renewals were lost,
// and each was sent again only seconds later.
TEST_CASE_METHOD(LossyStoreFixture, "Member stays listed while the store loses two of three writes",
                 "[leadership]")
{
    m_executesLate = GENERATE(false, true);
    CAPTURE(m_executesLate);
    m_leadership.begin();
    run(Duration(1000));
    for (int second = 0; second < 60; ++second) {
        CAPTURE(second);
        CHECK(isListed());
        run(Duration(1000));
    }
}

// Guards against copies that act for a lease which the member has given up.
TEST_CASE_METHOD(LossyStoreFixture,
                 "Member whose lease ended in an outage is listed under the next", "[leadership]")
{
    m_executesLate = GENERATE(false, true);
    CAPTURE(m_executesLate);
    m_leadership.begin();
    run(Duration(20'000));
    REQUIRE(m_entryLease);
    const StoreLeaseId first = *m_entryLease;
    m_isDown = true;
    run(Duration(20'000));
    REQUIRE_FALSE(isListed());
    m_isDown = false;
    run(Duration(10'000));
    for (int second = 0; second < 30; ++second) {
        CAPTURE(second);
        CHECK(isListed());
        CHECK(m_entryLease == m_renewed);
        CHECK(*m_entryLease > first);
        run(Duration(1000));
    }
}

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
