#pragma once

#include "Coordination/VouchRegistry.h"
#include "Protocol/Store.h"
#include "State/Configuration.h"
#include "Transport/ScopedTimers.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace Cranberrymount {

/** Outcome of a change of the configuration. */
struct ChangeResult
{
    enum Outcome {
        Changed,
        /** The change function refused; @c current holds the unchanged configuration. */
        Refused,
        /** The store cannot be reached; nothing was changed. */
        NotSent,
        /** The change may have taken effect, or may still do so. */
        Unknown,
    };
    Outcome outcome = Unknown;
    Configuration current;
};

/**
 * This instance's copy of the operators' configuration, and the freshness evidence for it.
 *
 * Evidence is dated to when the request left this process, so that a slow or late response never
 * makes it look younger. The copy is only ever replaced by a higher revision.
 */
class ConfigurationManager
{
public:
    struct Settings
    {
        /** Without evidence younger than this no keyed work is accepted and no task starts. */
        Duration evidenceBound{4000};
        Duration watchWait{1000};
        Duration retryDelay{300};
        /** How long a change waits until this entry's own vouches have expired and all registered
         * members have acknowledged this entry. */
        Duration changeTimeout{5000};
        Duration registerPeriod{2000};
        /** A member without a heartbeat for this long is removed from the register. */
        Duration forgetAfter{900'000};
        VouchRegistry::Settings vouches;
    };

    ConfigurationManager(Store &store, TimerService &timers, EntryId self, Settings settings);

    /** Registers this entry and starts to watch the store. */
    void start();
    /** Removes this entry from the register; it can change nothing afterwards. */
    void leave(std::function<void()> done);
    /** Records that @p member is alive; members that are not are removed from the register. */
    void recordHeartbeat(const EntryId &member);

    /** @return the latest known configuration, which may be read on any thread. */
    std::shared_ptr<const Configuration> configuration() const { return m_configuration; }
    /** @return true while nothing newer can have been accepted more than a few seconds ago. */
    bool isFresh() const { return m_timers.now() < freshUntil(); }
    /** @return until when the configuration counts as current without further evidence. */
    Instant freshUntil() const;
    /** @return the age of the latest evidence, or nothing if there never was any. */
    std::optional<Duration> evidenceAge() const;
    /** @return true while the store answers this instance directly. */
    bool isStoreResponding() const;

    /** Applies evidence that at @p asOf nothing newer than @p revision had been accepted. */
    void applyEvidence(Revision revision, Instant asOf);
    /** Replaces the copy by @p configuration, read from the store, if that is newer. */
    void applyConfiguration(Configuration configuration);
    /** Reads the store at once if @p revision is newer than the copy. */
    void readIfNewer(Revision revision);

    /**
     * Changes the configuration with compare-and-swap.
     * @param change returns false to refuse; is called again on a newer configuration if
     * another change came first.
     */
    void change(const std::function<bool(Configuration &)> &change,
                std::function<void(ChangeResult)> done);

    /**
     * Vouches for the configuration to @p peer: promises to make no change for a fixed time, so
     * that the peer may treat its copy as current.
     * @return false if this entry cannot promise that.
     */
    bool vouchFor(const EntryId &peer);
    VouchRegistry &vouches() { return m_vouches; }

    void onChange(std::function<void()> callback) { m_onChange = std::move(callback); }

private:
    void watch();
    void registerSelf();
    void readRegister();
    void applyRegister(const StoreRead &read, Instant askedAt);
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
    ScopedTimers m_timers;
    EntryId m_self;
    Settings m_settings;
    VouchRegistry m_vouches;
    std::map<EntryId, Instant> m_lastHeartbeatAt;
    bool m_hasLeft = false;
    std::shared_ptr<const Configuration> m_configuration = std::make_shared<Configuration>();
    std::optional<Instant> m_evidenceAt;
    std::optional<Instant> m_storeAnsweredAt;
    std::function<void()> m_onChange;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Cranberrymount
