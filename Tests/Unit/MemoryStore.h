#pragma once

#include "ClusterSimulation.h"

#include "Protocol/Store.h"
#include "Transport/FirstCallOnly.h"

#include <pcg_random.hpp>

namespace Cranberrymount {

/** Timer service on an event queue in virtual time. */
class EventQueueTimers : public TimerService
{
public:
    explicit EventQueueTimers(EventQueue &events)
        : m_events(events)
    {
    }
    Instant now() const override { return m_events.now(); }
    void after(Duration delay, std::function<void()> callback) override
    {
        m_events.at(now() + delay, std::move(callback));
    }

private:
    EventQueue &m_events;
};

/** Store in memory that loses and delays requests and responses at random. */
class MemoryStore : public Store
{
public:
    MemoryStore(EventQueue &events, uint64_t seed)
        : m_events(events)
        , m_random(seed)
    {
    }

    void read(const std::string &key, std::function<void(StoreRead)> done) override
    {
        exchange<StoreRead>(
            [this, key] {
                const auto found = m_values.find(key);
                StoreRead read{true, {}};
                if (found != m_values.end())
                    read.entries.push_back(found->second);
                return read;
            },
            std::move(done));
    }
    void list(const std::string &, std::function<void(StoreRead)> done) override { done({}); }
    void watch(const std::string &key, Revision, Duration,
               std::function<void(StoreRead)> done) override
    {
        read(key, std::move(done));
    }
    void write(StorePut put, std::function<void(StoreWrite)> done) override
    {
        exchange<StoreWrite>(
            [this, put = std::move(put)] {
                const Revision current = revisionOf(put.key);
                if (current != put.expected)
                    return StoreWrite{StoreWrite::Conflict, current};
                const Revision revision(++m_revision);
                m_values[put.key] = {put.key, put.value, revision};
                return StoreWrite{StoreWrite::Written, revision};
            },
            std::move(done));
    }
    void remove(const std::string &key, Revision expected,
                std::function<void(StoreWrite)> done) override
    {
        exchange<StoreWrite>(
            [this, key, expected] {
                if (revisionOf(key) != expected)
                    return StoreWrite{StoreWrite::Conflict, revisionOf(key)};
                m_values.erase(key);
                return StoreWrite{StoreWrite::Written, Revision(++m_revision)};
            },
            std::move(done));
    }
    /** Leases of this store never expire. */
    void createLease(Duration, std::function<void(StoreLease)> done) override
    {
        done({true, true, StoreLeaseId(1)});
    }
    void renewLease(StoreLeaseId id, std::function<void(StoreLease)> done) override
    {
        done({true, true, id});
    }
    void endLease(StoreLeaseId id, std::function<void(StoreLease)> done) override
    {
        done({true, false, id});
    }

private:
    template <typename Answer>
    void exchange(std::function<Answer()> serve, std::function<void(Answer)> done)
    {
        constexpr uint32_t MessagesPerLoss = 10;
        constexpr Duration Timeout{200};
        const auto finish = firstCallOnly(std::move(done));
        const Instant arrival = m_events.now() + delay();
        m_events.at(m_events.now() + Timeout, [finish] { finish(Answer()); });
        if (m_random(MessagesPerLoss) == 0)
            return;
        m_events.at(arrival, [this, serve = std::move(serve), finish] {
            const Answer answer = serve();
            if (m_random(MessagesPerLoss) != 0)
                m_events.at(m_events.now() + delay(), [finish, answer] { finish(answer); });
        });
    }
    /**
     * The delays of a request and its response can add up to more than the timeout, so that some
     * requests take effect although their sender gets no response.
     */
    Duration delay()
    {
        constexpr uint32_t MaxDelay = 150;
        return Duration(1 + m_random(MaxDelay));
    }
    Revision revisionOf(const std::string &key) const
    {
        const auto found = m_values.find(key);
        return found == m_values.end() ? Revision() : found->second.revision;
    }

    EventQueue &m_events;
    pcg64 m_random;
    uint64_t m_revision = 0;
    std::map<std::string, StoreEntry> m_values;
};

} // namespace Cranberrymount
