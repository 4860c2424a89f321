#pragma once

#include "Coordination/VouchBook.h"
#include "Protocol/Store.h"
#include "State/Configuration.h"
#include "Transport/GuardedTimers.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace Cranberrymount {

/** What became of a change of the configuration. */
struct ChangeResult
{
    enum Outcome {
        Changed,
        /** The change function refused; the configuration stands as @c current shows. */
        Refused,
        /** The store cannot be reached; nothing was changed. */
        NotSent,
        Unknown,
    };
    Outcome outcome = Unknown;
    Configuration current;
};

/**
 * This instance's copy of the operators' configuration, and the evidence that it is current.
 *
 * Evidence is dated to the moment at which the question left this process, so that a slow or late
 * answer never makes it look younger. The copy only moves to higher revisions.
 */
class ConfigurationKeeper
{
public:
    struct Settings
    {
        /** Without evidence younger than this no keyed work is taken and no task starts. */
        Duration evidenceBound{4000};
        Duration watchWait{1000};
        Duration retryDelay{300};
        /** How long a change waits for this entry's own promises to end. */
        Duration changeTimeout{5000};
        Duration registerPeriod{2000};
        /** A registered member that nobody heard for this long is taken off the register. */
        Duration forgetAfter{900'000};
        VouchBook::Settings vouches;
    };

    ConfigurationKeeper(Store &store, TimerService &timers, EntryId self, Settings settings);

    /** Registers this entry and begins to watch the store. */
    void start();
    /** Takes this entry off the register; it may change nothing from here on. */
    void leave(std::function<void()> done);
    /** Tells which members are alive, so that the others can be taken off the register. */
    void heard(const EntryId &member);

    /** @return the latest known configuration; valid in any thread. */
    std::shared_ptr<const Configuration> configuration() const { return m_configuration; }
    /** @return true while nothing newer can have been accepted more than seconds ago. */
    bool isFresh() const { return m_timers.now() < freshUntil(); }
    /** @return until when the configuration counts as current unless more evidence comes. */
    Instant freshUntil() const;
    /** @return the age of the evidence, or nothing if there never was any. */
    std::optional<Duration> evidenceAge() const;
    /** @return true while the store answers this instance itself. */
    bool hearsStore() const;

    /** Takes evidence from a peer: at @p asOf nothing newer than @p revision was accepted. */
    void applyEvidence(Revision revision, Instant asOf);
    /** Takes a configuration that a peer read from the store. */
    void applyConfiguration(Configuration configuration);
    /** A peer knows a newer revision; reads the store at once. */
    void readIfNewer(Revision revision);

    /**
     * Changes the configuration under compare-and-swap.
     * @param change returns false to refuse; is called again on a newer configuration if
     * another change came first.
     */
    void change(const std::function<bool(Configuration &)> &change,
                std::function<void(ChangeResult)> done);

    /** Vouches for the configuration to @p peer, which asked for it. @return false if it cannot. */
    bool vouchFor(const EntryId &peer);
    VouchBook &vouches() { return m_vouches; }

    void onChange(std::function<void()> callback) { m_onChange = std::move(callback); }

private:
    void watch();
    void registerSelf();
    void readRegister();
    void takeRegister(const StoreRead &read, Instant askedAt);
    void readNow();
    void applyRead(const StoreRead &read, Instant askedAt);
    void changeWhenAllowed(const std::function<bool(Configuration &)> &change,
                           std::function<void(ChangeResult)> done, Instant deadline);
    void attemptChange(const std::function<bool(Configuration &)> &change,
                       const std::function<void(ChangeResult)> &done, unsigned attempts);
    void resolveUnknownWrite(const Configuration &wanted,
                             const std::function<bool(Configuration &)> &change,
                             const std::function<void(ChangeResult)> &done, unsigned attempts);

    Store &m_store;
    GuardedTimers m_timers;
    EntryId m_self;
    Settings m_settings;
    VouchBook m_vouches;
    std::map<EntryId, Instant> m_lastHeartbeatAt;
    bool m_hasLeft = false;
    std::shared_ptr<const Configuration> m_configuration = std::make_shared<Configuration>();
    std::optional<Instant> m_evidenceAt;
    std::optional<Instant> m_storeAnsweredAt;
    std::function<void()> m_onChange;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Cranberrymount
