#pragma once

#include "Protocol/Store.h"
#include "State/Configuration.h"
#include "Transport/TimerService.h"

#include <functional>
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
    };

    ConfigurationKeeper(Store &store, TimerService &timers, Settings settings);

    /** Begins to watch the store. */
    void start();

    /** @return the latest known configuration; valid in any thread. */
    std::shared_ptr<const Configuration> configuration() const { return m_configuration; }
    bool isFresh() const;
    /** @return the age of the evidence, or nothing if there never was any. */
    std::optional<Duration> evidenceAge() const;
    /** @return true while the store answers this instance itself. */
    bool hearsStore() const;

    /** Takes evidence from a peer: at @p asOf nothing newer than @p revision was accepted. */
    void takeEvidence(Revision revision, Instant asOf);
    /** Takes a configuration that a peer read from the store. */
    void takeConfiguration(Configuration configuration);
    /** A peer knows a newer revision; reads the store at once. */
    void hasNewer(Revision revision);

    /**
     * Changes the configuration under compare-and-swap.
     * @param change returns false to refuse; is called again on a newer configuration if
     * another change came first.
     */
    void change(std::function<bool(Configuration &)> change,
                std::function<void(ChangeResult)> done);

    void onChange(std::function<void()> callback) { m_onChange = std::move(callback); }

private:
    void watch();
    void readNow();
    void takeRead(const StoreRead &read, Instant askedAt);
    void attemptChange(const std::function<bool(Configuration &)> &change,
                       const std::function<void(ChangeResult)> &done, unsigned attempts);
    void settleUnknown(const Configuration &wanted,
                       const std::function<bool(Configuration &)> &change,
                       const std::function<void(ChangeResult)> &done, unsigned attempts);

    Store &m_store;
    TimerService &m_timers;
    Settings m_settings;
    std::shared_ptr<const Configuration> m_configuration = std::make_shared<Configuration>();
    std::optional<Instant> m_evidenceAt;
    std::optional<Instant> m_storeHeardAt;
    std::function<void()> m_onChange;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Cranberrymount
