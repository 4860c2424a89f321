#include "Coordination/ConfigurationManager.h"

#include "Protocol/StoredValue.h"

#include <glog/logging.h>

namespace Cranberrymount {

namespace {

const char *const ConfigurationKey = "configuration";
const char *const RegisterPrefix = "register/";
constexpr unsigned MaxChangeAttempts = 8;

} // namespace

ConfigurationManager::ConfigurationManager(Store &store, TimerService &timers, EntryId self,
                                           Settings settings)
    : m_store(store)
    , m_timers(timers)
    , m_self(std::move(self))
    , m_settings(settings)
    , m_vouches(m_self, timers.now(), settings.vouches)
{
}

void ConfigurationManager::start()
{
    watch();
    registerSelf();
}

void ConfigurationManager::registerSelf()
{
    m_store.write({RegisterPrefix + m_self.value(), "{}", Revision()},
                  [this, alive = std::weak_ptr(m_alive)](const StoreWrite &) {
                      // The register itself shows whether the write took effect.
                      if (!alive.expired())
                          readRegister();
                  });
}

void ConfigurationManager::readRegister()
{
    const Instant askedAt = m_timers.now();
    m_store.list(RegisterPrefix,
                 [this, alive = std::weak_ptr(m_alive), askedAt](const StoreRead &read) {
                     if (alive.expired() || m_hasLeft)
                         return;
                     if (read.answered)
                         applyRegister(read, askedAt);
                     m_timers.after(m_settings.registerPeriod, [this] {
                         if (!m_hasLeft)
                             readRegister();
                     });
                 });
}

void ConfigurationManager::applyRegister(const StoreRead &read, Instant askedAt)
{
    const Instant now = m_timers.now();
    std::set<EntryId> registered;
    for (const StoreEntry &entry : read.entries) {
        const EntryId member(entry.key.substr(std::string(RegisterPrefix).size()));
        registered.insert(member);
        const auto [lastHeartbeatAt, isNew] = m_lastHeartbeatAt.try_emplace(member, now);
        if (member != m_self && now - lastHeartbeatAt->second > m_settings.forgetAfter) {
            LOG(WARNING) << "event=member_forgotten member=" << member.value();
            m_store.remove(entry.key, entry.revision, [](const StoreWrite &) {});
        }
    }
    const bool isRegistered = registered.contains(m_self);
    m_vouches.applyRegister(std::move(registered), askedAt, now);
    if (!isRegistered)
        registerSelf();
}

void ConfigurationManager::recordHeartbeat(const EntryId &member)
{
    m_lastHeartbeatAt[member] = m_timers.now();
}

void ConfigurationManager::leave(std::function<void()> done)
{
    m_hasLeft = true;
    const std::string key = RegisterPrefix + m_self.value();
    m_store.read(key, [this, key, done = std::move(done)](const StoreRead &read) {
        if (read.entries.empty())
            return done();
        m_store.remove(key, read.entries.front().revision, [done](const StoreWrite &) { done(); });
    });
}

Instant ConfigurationManager::freshUntil() const
{
    Instant until;
    if (m_evidenceAt)
        until = *m_evidenceAt + m_settings.evidenceBound;
    if (const auto vouched = m_vouches.vouchedUntil(m_configuration->revision))
        until = std::max(until, *vouched);
    return until;
}

bool ConfigurationManager::vouchFor(const EntryId &peer)
{
    const Instant now = m_timers.now();
    m_vouches.recordPeerRequest(peer, now);
    if (!m_vouches.mayVouch(now, isStoreResponding()))
        return false;
    m_vouches.promise(now);
    return true;
}

std::optional<Duration> ConfigurationManager::evidenceAge() const
{
    if (!m_evidenceAt)
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(m_timers.now() - *m_evidenceAt);
}

bool ConfigurationManager::isStoreResponding() const
{
    return m_storeAnsweredAt
        && m_timers.now() - *m_storeAnsweredAt < m_settings.watchWait + m_settings.watchWait;
}

void ConfigurationManager::watch()
{
    const Instant askedAt = m_timers.now();
    m_store.watch(ConfigurationKey, m_configuration->revision, m_settings.watchWait,
                  [this, alive = std::weak_ptr(m_alive), askedAt](const StoreRead &read) {
                      if (alive.expired())
                          return;
                      applyRead(read, askedAt);
                      // Avoids a busy loop when the store answers at once.
                      const bool early = m_timers.now() - askedAt < m_settings.retryDelay;
                      m_timers.after(early ? m_settings.retryDelay : Duration(1),
                                     [this] { watch(); });
                  });
}

void ConfigurationManager::readNow()
{
    const Instant askedAt = m_timers.now();
    m_store.read(ConfigurationKey,
                 [this, alive = std::weak_ptr(m_alive), askedAt](const StoreRead &read) {
                     if (!alive.expired())
                         applyRead(read, askedAt);
                 });
}

void ConfigurationManager::applyRead(const StoreRead &read, Instant askedAt)
{
    if (!read.answered)
        return;
    m_storeAnsweredAt = m_timers.now();
    Revision stored;
    if (!read.entries.empty()) {
        const StoreEntry &entry = read.entries.front();
        stored = entry.revision;
        if (stored > m_configuration->revision) {
            auto configuration = decodeStored(
                entry.key, [&entry] { return decodeJson<Configuration>(entry.value); });
            if (!configuration)
                return;
            configuration->revision = stored;
            applyConfiguration(std::move(*configuration));
        }
    }
    applyEvidence(stored, askedAt);
}

void ConfigurationManager::applyEvidence(Revision revision, Instant asOf)
{
    if (revision < m_configuration->revision)
        return;
    if (revision > m_configuration->revision)
        return readIfNewer(revision);
    if (!m_evidenceAt || *m_evidenceAt < asOf)
        m_evidenceAt = asOf;
}

void ConfigurationManager::applyConfiguration(Configuration configuration)
{
    if (configuration.revision <= m_configuration->revision)
        return;
    LOG(INFO) << "event=configuration_in_force revision=" << configuration.revision.value();
    m_configuration = std::make_shared<const Configuration>(std::move(configuration));
    if (m_onChange)
        m_onChange();
}

void ConfigurationManager::readIfNewer(Revision revision)
{
    if (revision > m_configuration->revision)
        readNow();
}

void ConfigurationManager::change(const std::function<bool(Configuration &)> &change,
                                  std::function<void(ChangeResult)> done)
{
    changeWhenAllowed(change, std::move(done), m_timers.now() + m_settings.changeTimeout);
}

/** Starts the change once the vouches allow it; gives up at @p deadline. */
void ConfigurationManager::changeWhenAllowed(const std::function<bool(Configuration &)> &change,
                                             std::function<void(ChangeResult)> done,
                                             Instant deadline)
{
    const Instant now = m_timers.now();
    if (m_hasLeft || now >= deadline)
        return done({ChangeResult::NotSent, *m_configuration});
    if (!m_vouches.mayChange(now)) {
        m_timers.after(m_settings.retryDelay, [this, change, done = std::move(done), deadline] {
            changeWhenAllowed(change, done, deadline);
        });
        return;
    }
    m_vouches.changeStarted();
    const auto ended = [this, done = std::move(done)](const ChangeResult &result) {
        m_vouches.changeFinished(result.outcome != ChangeResult::Unknown);
        done(result);
    };
    attemptChange(change, ended, 0);
}

void ConfigurationManager::attemptChange(const std::function<bool(Configuration &)> &change,
                                         const std::function<void(ChangeResult)> &done,
                                         unsigned attempts)
{
    const Instant askedAt = m_timers.now();
    m_store.read(ConfigurationKey,
                 [this, alive = std::weak_ptr(m_alive), askedAt, change, done,
                  attempts](const StoreRead &read) {
                     if (alive.expired())
                         return;
                     if (!read.answered || attempts >= MaxChangeAttempts)
                         return done({ChangeResult::NotSent, *m_configuration});
                     applyRead(read, askedAt);
                     Configuration wanted = *m_configuration;
                     if (!change(wanted))
                         return done({ChangeResult::Refused, *m_configuration});
                     m_store.write(
                         {ConfigurationKey, Json(wanted).dump(), wanted.revision},
                         [this, alive, wanted, change, done, attempts](const StoreWrite &write) {
                             if (alive.expired())
                                 return;
                             if (write.outcome == StoreWrite::Written) {
                                 Configuration current = wanted;
                                 current.revision = write.revision;
                                 m_vouches.changesResolved();
                                 applyConfiguration(current);
                                 return done({ChangeResult::Changed, current});
                             }
                             if (write.outcome == StoreWrite::Conflict)
                                 return attemptChange(change, done, attempts + 1);
                             if (write.outcome == StoreWrite::NotSent)
                                 return done({ChangeResult::NotSent, *m_configuration});
                             resolveUnknownWrite(wanted, change, done, attempts);
                         });
                 });
}

/** Reads the store to find out whether a write with a lost response took effect. */
void ConfigurationManager::resolveUnknownWrite(const Configuration &wanted,
                                               const std::function<bool(Configuration &)> &change,
                                               const std::function<void(ChangeResult)> &done,
                                               unsigned attempts)
{
    const Instant askedAt = m_timers.now();
    m_store.read(ConfigurationKey,
                 [this, alive = std::weak_ptr(m_alive), askedAt, wanted, change, done,
                  attempts](const StoreRead &read) {
                     if (alive.expired())
                         return;
                     if (!read.answered)
                         return done({ChangeResult::Unknown, *m_configuration});
                     applyRead(read, askedAt);
                     Configuration current = *m_configuration;
                     Configuration expected = wanted;
                     expected.revision = current.revision;
                     if (current == expected)
                         return done({ChangeResult::Changed, current});
                     // Another change came first or the write had no effect: the compare-and-swap
                     // of the next attempt finds out.
                     attemptChange(change, done, attempts + 1);
                 });
}

} // namespace Cranberrymount
