#include "Coordination/ConfigurationKeeper.h"

#include "Protocol/Json.h"

#include <glog/logging.h>

namespace Cranberrymount {

namespace {

const char *const ConfigurationKey = "configuration";
constexpr unsigned MaxChangeAttempts = 8;

} // namespace

ConfigurationKeeper::ConfigurationKeeper(Store &store, TimerService &timers, Settings settings)
    : m_store(store)
    , m_timers(timers)
    , m_settings(settings)
{
}

void ConfigurationKeeper::start()
{
    watch();
}

bool ConfigurationKeeper::isFresh() const
{
    const auto age = evidenceAge();
    return age && *age < m_settings.evidenceBound;
}

std::optional<Duration> ConfigurationKeeper::evidenceAge() const
{
    if (!m_evidenceAt)
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(m_timers.now() - *m_evidenceAt);
}

bool ConfigurationKeeper::hearsStore() const
{
    return m_storeHeardAt
            && m_timers.now() - *m_storeHeardAt < m_settings.watchWait + m_settings.watchWait;
}

void ConfigurationKeeper::watch()
{
    const Instant askedAt = m_timers.now();
    m_store.watch(ConfigurationKey, m_configuration->revision, m_settings.watchWait,
                  [this, alive = std::weak_ptr(m_alive), askedAt](const StoreRead &read) {
                      if (alive.expired())
                          return;
                      takeRead(read, askedAt);
                      // A read that answers at once must not become a busy loop.
                      const bool early = m_timers.now() - askedAt < m_settings.retryDelay;
                      m_timers.after(early ? m_settings.retryDelay : Duration(1),
                                     [this, alive] {
                                         if (!alive.expired())
                                             watch();
                                     });
                  });
}

void ConfigurationKeeper::readNow()
{
    const Instant askedAt = m_timers.now();
    m_store.read(ConfigurationKey,
                 [this, alive = std::weak_ptr(m_alive), askedAt](const StoreRead &read) {
                     if (!alive.expired())
                         takeRead(read, askedAt);
                 });
}

void ConfigurationKeeper::takeRead(const StoreRead &read, Instant askedAt)
{
    if (!read.answered)
        return;
    m_storeHeardAt = m_timers.now();
    Revision stored;
    if (!read.entries.empty()) {
        const StoreEntry &entry = read.entries.front();
        stored = entry.revision;
        if (stored > m_configuration->revision) {
            auto configuration = decodeJson<Configuration>(entry.value);
            configuration.revision = stored;
            takeConfiguration(std::move(configuration));
        }
    }
    takeEvidence(stored, askedAt);
}

void ConfigurationKeeper::takeEvidence(Revision revision, Instant asOf)
{
    if (revision < m_configuration->revision)
        return;
    if (revision > m_configuration->revision)
        return hasNewer(revision);
    if (!m_evidenceAt || *m_evidenceAt < asOf)
        m_evidenceAt = asOf;
}

void ConfigurationKeeper::takeConfiguration(Configuration configuration)
{
    if (configuration.revision <= m_configuration->revision)
        return;
    LOG(INFO) << "event=configuration_in_force revision=" << configuration.revision.value();
    m_configuration = std::make_shared<const Configuration>(std::move(configuration));
    if (m_onChange)
        m_onChange();
}

void ConfigurationKeeper::hasNewer(Revision revision)
{
    if (revision > m_configuration->revision)
        readNow();
}

void ConfigurationKeeper::change(std::function<bool(Configuration &)> change,
                                 std::function<void(ChangeResult)> done)
{
    attemptChange(change, done, 0);
}

void ConfigurationKeeper::attemptChange(const std::function<bool(Configuration &)> &change,
                                        const std::function<void(ChangeResult)> &done,
                                        unsigned attempts)
{
    const Instant askedAt = m_timers.now();
    m_store.read(ConfigurationKey, [this, alive = std::weak_ptr(m_alive), askedAt, change, done,
                                    attempts](const StoreRead &read) {
        if (alive.expired())
            return;
        if (!read.answered || attempts >= MaxChangeAttempts)
            return done({ChangeResult::NotSent, *m_configuration});
        takeRead(read, askedAt);
        Configuration wanted = *m_configuration;
        if (!change(wanted))
            return done({ChangeResult::Refused, *m_configuration});
        m_store.write({ConfigurationKey, Json(wanted).dump(), wanted.revision},
                      [this, alive, wanted, change, done, attempts](const StoreWrite &write) {
                          if (alive.expired())
                              return;
                          if (write.outcome == StoreWrite::Written) {
                              Configuration current = wanted;
                              current.revision = write.revision;
                              takeConfiguration(current);
                              return done({ChangeResult::Changed, current});
                          }
                          if (write.outcome == StoreWrite::Conflict)
                              return attemptChange(change, done, attempts + 1);
                          if (write.outcome == StoreWrite::NotSent)
                              return done({ChangeResult::NotSent, *m_configuration});
                          settleUnknown(wanted, change, done, attempts);
                      });
    });
}

/** Tells by a read whether a write with a lost answer took effect. */
void ConfigurationKeeper::settleUnknown(const Configuration &wanted,
                                        const std::function<bool(Configuration &)> &change,
                                        const std::function<void(ChangeResult)> &done,
                                        unsigned attempts)
{
    const Instant askedAt = m_timers.now();
    m_store.read(ConfigurationKey, [this, alive = std::weak_ptr(m_alive), askedAt, wanted, change,
                                    done, attempts](const StoreRead &read) {
        if (alive.expired())
            return;
        if (!read.answered)
            return done({ChangeResult::Unknown, *m_configuration});
        takeRead(read, askedAt);
        Configuration current = *m_configuration;
        Configuration expected = wanted;
        expected.revision = current.revision;
        if (current == expected)
            return done({ChangeResult::Changed, current});
        // Either another change came first or the write did not land: the guarded write decides.
        attemptChange(change, done, attempts + 1);
    });
}

} // namespace Cranberrymount
