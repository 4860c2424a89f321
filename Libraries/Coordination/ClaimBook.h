#pragma once

#include "Coordination/RotatingLease.h"
#include "Protocol/PeerMessages.h"

#include <functional>
#include <string>

namespace Cranberrymount {

/** What is known of an idempotency key. */
struct ClaimResult
{
    enum Outcome {
        /** The key is this request's; it may be sent once. */
        Claimed,
        /** Answered before; @c reply is that answer. */
        Replayed,
        /** Another try holds the key and has not recorded an answer. */
        InDoubt,
        /** The key was used with another request body. */
        Mismatch,
        /** The store is out of reach; nothing was claimed. */
        NotRun,
    };
    Outcome outcome = NotRun;
    LookupReply reply = {};
};

/**
 * Claims of idempotency keys, one store key each: a request that must not run twice is sent only by
 * the entry whose write created the claim, and its answer is kept for repeats.
 */
class ClaimBook
{
public:
    ClaimBook(Store &store, TimerService &timers, std::string entry);

    void start() { m_lease.start(); }

    /**
     * @param scope keeps the keys of different teams and queues apart.
     * @param digest tells two request bodies apart.
     * @param nonce is unique to this try.
     */
    void claim(const std::string &scope, const std::string &digest, const std::string &nonce,
               std::function<void(ClaimResult)> done);
    /**
     * Records how the claimed request ended; a request that was not run gives the key back.
     * @param done is called once that is recorded, or failed, or took too long to wait for.
     */
    void settle(const std::string &scope, const LookupReply &reply, std::function<void()> done);

    /** Answers above this size are not kept; a repeat is told that it was answered. */
    static constexpr std::size_t MaxKeptReplyBytes = 16'384;

private:
    void recordReply(const StoreEntry &entry, const std::string &key, const LookupReply &reply,
                     std::function<void()> done);
    void readClaim(const std::string &key, const std::string &digest, const std::string &nonce,
                   bool wasUnknown, std::function<void(ClaimResult)> done);

    Store &m_store;
    TimerService &m_timers;
    std::string m_entry;
    RotatingLease m_lease;
};

} // namespace Cranberrymount
