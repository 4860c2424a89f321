#pragma once

#include "Coordination/RotatingLease.h"
#include "Protocol/PeerMessages.h"

#include <functional>
#include <string>

namespace Cranberrymount {

/** Result of an attempt to claim an idempotency key. */
struct ClaimResult
{
    enum Outcome {
        /** This request holds the key and may be sent once. */
        Claimed,
        /** The request was answered before; @c reply is the recorded response. */
        Replayed,
        /** Another try holds the key and has not recorded a response. */
        InDoubt,
        /** The key was used with another request body. */
        Mismatch,
        /** No claim is confirmed, usually because the store is unreachable; the request must not be
         * sent. */
        NotRun,
    };
    Outcome outcome = NotRun;
    LookupReply reply = {};
};

/**
 * Claims of idempotency keys, one store key each: a request that must not run twice is sent only by
 * the entry whose write created the claim, and its response is recorded for retries.
 */
class ClaimRegistry
{
public:
    ClaimRegistry(Store &store, TimerService &timers, std::string entry);

    void start() { m_lease.start(); }

    /**
     * Claims an idempotency key for a request.
     * @param scope identifies the key with its queue and team; equal keys of others do not collide.
     * @param digest of the request body, to detect a key that is reused with another body.
     * @param nonce unique to this try.
     */
    void claim(const std::string &scope, const std::string &digest, const std::string &nonce,
               std::function<void(ClaimResult)> done);
    /**
     * Records the outcome of a request that holds a claim; if it was not run, releases the key.
     * @param done called once recording has succeeded, failed or taken too long.
     */
    void recordOutcome(const std::string &scope, const LookupReply &reply,
                       std::function<void()> done);

    /** Bodies of larger responses are not kept; a retry then gets a note that it was answered. */
    static constexpr std::size_t MaxKeptReplyBytes = 16'384;

private:
    void recordReply(const StoreEntry &entry, const std::string &key, const LookupReply &reply,
                     const std::function<void()> &done);
    void readClaim(const std::string &key, const std::string &digest, const std::string &nonce,
                   bool wasUnknown, std::function<void(ClaimResult)> done);

    Store &m_store;
    TimerService &m_timers;
    std::string m_entry;
    RotatingLease m_lease;
};

} // namespace Cranberrymount
