#pragma once

#include "State/Ids.h"
#include "State/Time.h"

#include <functional>
#include <string>
#include <vector>

namespace Cranberrymount {

using StoreLeaseId = Counter<struct StoreLeaseTag>;

/** One key with its value. */
struct StoreEntry
{
    std::string key;
    std::string value;
    Revision revision;
};

/** The result of a read. */
struct StoreRead
{
    /** False if the store did not respond; @c entries is meaningless then. */
    bool answered = false;
    /** The entries found; empty if the key does not exist or no key has the prefix. */
    std::vector<StoreEntry> entries;
};

/** The result of a write. */
struct StoreWrite
{
    enum Outcome {
        Written,
        /** The key had another revision; nothing was written. */
        Conflict,
        /** No byte of the call left this process; nothing was written. */
        NotSent,
        /** The write may have taken effect; only a read can show whether it did. */
        Unknown,
    };
    Outcome outcome = Unknown;
    /** The key's revision after @c Written; after @c Conflict the existing one, 0 if unknown. */
    Revision revision;
};

/** The result of a call that creates, renews or ends a lease. */
struct StoreLease
{
    /** False if the store did not respond; the other fields are meaningless then. */
    bool answered = false;
    /** False if the lease has ended. */
    bool alive = false;
    StoreLeaseId id;
};

/** A conditional write of one key. */
struct StorePut
{
    std::string key;
    std::string value;
    /** The revision that the key must have; 0 for "must not exist". */
    Revision expected;
    /** Deletes the key when this lease ends; 0 for none. */
    StoreLeaseId lease = {};
};

/**
 * The platform's key-value service. The only adapter that knows its protocol is @c HttpStore.
 *
 * Callbacks run on the control thread. The adapter does not retry calls: a caller that gets
 * @c Unknown reads before it writes again.
 */
class Store
{
public:
    virtual ~Store() = default;

    virtual void read(const std::string &key, std::function<void(StoreRead)> done) = 0;
    virtual void list(const std::string &prefix, std::function<void(StoreRead)> done) = 0;
    /** Reads @p key once its revision is above @p since, or its current state after @p wait. */
    virtual void watch(const std::string &key, Revision since, Duration wait,
                       std::function<void(StoreRead)> done) = 0;
    virtual void write(StorePut put, std::function<void(StoreWrite)> done) = 0;
    /** Deletes @p key if it still has revision @p expected. */
    virtual void remove(const std::string &key, Revision expected,
                        std::function<void(StoreWrite)> done) = 0;
    virtual void createLease(Duration ttl, std::function<void(StoreLease)> done) = 0;
    virtual void renewLease(StoreLeaseId id, std::function<void(StoreLease)> done) = 0;
    /** Ends a lease and deletes its keys. */
    virtual void endLease(StoreLeaseId id, std::function<void(StoreLease)> done) = 0;
};

} // namespace Cranberrymount
