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

/** What a read brought. */
struct StoreRead
{
    /** False if the store did not answer; then the rest says nothing. */
    bool answered = false;
    /** Found entries; empty if the key or prefix has none. */
    std::vector<StoreEntry> entries;
};

/** What a write brought. */
struct StoreWrite
{
    enum Outcome {
        Written,
        /** The key had another revision; nothing was written. */
        Conflict,
        /** The call never left; nothing was written. */
        NotSent,
        /** The call may have taken effect; a read has to tell. */
        Unknown,
    };
    Outcome outcome = Unknown;
    /** The key's revision after @c Written, or the one in the way after @c Conflict. */
    Revision revision;
};

/** What a lease call brought. */
struct StoreLease
{
    bool answered = false;
    /** False if the lease has ended. */
    bool alive = false;
    StoreLeaseId id;
};

/** Conditions of a write. */
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
 * Callbacks run on the control thread. No call is repeated by the adapter: a caller that gets
 * @c Unknown reads before it writes again.
 */
class Store
{
public:
    virtual ~Store() = default;

    virtual void read(const std::string &key, std::function<void(StoreRead)> done) = 0;
    virtual void list(const std::string &prefix, std::function<void(StoreRead)> done) = 0;
    /** Answers once @p key has a revision above @p since, or after @p wait with what is there. */
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
