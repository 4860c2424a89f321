#include "Coordination/ClaimRegistry.h"

#include "Protocol/StoredValue.h"
#include "Transport/FirstCallOnly.h"

namespace Cranberrymount {

namespace {

/** The response to the client is delayed at most this long while it is recorded for retries. */
constexpr Duration MaxRecordingWait{300};
/** Longer than any client retries a request. */
constexpr Duration ClaimTtl{1'200'000};

std::string claimKey(const std::string &scope)
{
    return "claim/" + scope;
}

ClaimResult decodeClaim(const Json &claim, const std::string &digest)
{
    if (claim.at("digest").get<std::string>() != digest)
        return {ClaimResult::Mismatch};
    if (!claim.contains("status"))
        return {ClaimResult::InDoubt};
    LookupReply reply;
    reply.outcome = LookupReply::Answered;
    reply.status = claim.at("status").get<int>();
    reply.contentType = claim.at("content_type").get<std::string>();
    reply.body = claim.at("body").get<std::string>();
    return {ClaimResult::Replayed, reply};
}

} // namespace

ClaimRegistry::ClaimRegistry(Store &store, TimerService &timers, std::string entry)
    : m_store(store)
    , m_timers(timers)
    , m_entry(std::move(entry))
    , m_lease(store, timers, ClaimTtl)
{
}

void ClaimRegistry::claim(const std::string &scope, const std::string &digest,
                          const std::string &nonce, std::function<void(ClaimResult)> done)
{
    if (m_lease.current() == StoreLeaseId())
        return done({ClaimResult::NotRun});
    const std::string key = claimKey(scope);
    const Json value = {{"entry", m_entry}, {"digest", digest}, {"nonce", nonce}};
    m_store.write({key, value.dump(), Revision(), m_lease.current()},
                  [this, key, digest, nonce, done = std::move(done)](const StoreWrite &write) {
                      if (write.outcome == StoreWrite::Written)
                          return done({ClaimResult::Claimed});
                      if (write.outcome == StoreWrite::NotSent)
                          return done({ClaimResult::NotRun});
                      readClaim(key, digest, nonce, write.outcome == StoreWrite::Unknown, done);
                  });
}

void ClaimRegistry::readClaim(const std::string &key, const std::string &digest,
                              const std::string &nonce, bool wasUnknown,
                              std::function<void(ClaimResult)> done)
{
    m_store.read(key, [digest, nonce, wasUnknown, done = std::move(done)](const StoreRead &read) {
        if (!read.answered || read.entries.empty()) {
            // No request is sent, so NotRun is true even if the claim is written late and then
            // blocks retries.
            return done({ClaimResult::NotRun});
        }
        const StoreEntry &entry = read.entries.front();
        const auto result = decodeStored(entry.key, [&] {
            const Json claim = parseJson(entry.value);
            const bool isMine = wasUnknown && claim.at("nonce").get<std::string>() == nonce;
            return isMine ? ClaimResult{ClaimResult::Claimed} : decodeClaim(claim, digest);
        });
        done(result.value_or(ClaimResult{ClaimResult::NotRun}));
    });
}

void ClaimRegistry::recordOutcome(const std::string &scope, const LookupReply &reply,
                                  std::function<void()> done)
{
    if (reply.outcome == LookupReply::Unknown)
        return done();
    const auto once = firstCallOnly(std::move(done));
    m_timers.after(MaxRecordingWait, once);
    const std::string key = claimKey(scope);
    m_store.read(key, [this, key, reply, once](const StoreRead &read) {
        if (!read.answered || read.entries.empty())
            return once();
        recordReply(read.entries.front(), key, reply, once);
    });
}

void ClaimRegistry::recordReply(const StoreEntry &entry, const std::string &key,
                                const LookupReply &reply, const std::function<void()> &done)
{
    const auto written = [done](const StoreWrite &) { done(); };
    if (reply.outcome == LookupReply::NotRun)
        return m_store.remove(key, entry.revision, written);
    auto stored = decodeStored(key, [&entry] { return parseJson(entry.value); });
    if (!stored || !stored->is_object())
        return done();
    Json &claim = *stored;
    const bool isKept = reply.body.size() <= MaxKeptReplyBytes;
    claim["status"] = reply.status;
    claim["content_type"] = isKept ? reply.contentType : "application/json";
    claim["body"] = isKept ? reply.body : "{\"note\":\"answered before; too large to keep\"}";
    m_store.write({key, claim.dump(), entry.revision, m_lease.current()}, written);
}

} // namespace Cranberrymount
