#pragma once

#include "Protocol/Store.h"

namespace Cranberrymount {

/** A change of several keys that is applied completely or not at all. */
struct StoreTransaction
{
    struct Condition
    {
        std::string key;
        /** The revision that the key must have; 0 for "must not exist". */
        Revision revision;
    };
    struct Put
    {
        std::string key;
        std::string value;
        /** Deletes the key when this lease ends; 0 for none. */
        StoreLeaseId lease = {};
    };
    std::vector<Condition> conditions;
    std::vector<Put> puts;
    /** Keys to delete. */
    std::vector<std::string> removals;
};

/** The outcome of a transaction. */
struct CommitResult
{
    enum Outcome {
        Committed,
        /** A condition did not hold; @c current has the current entries of the conditions' keys. */
        Conflict,
        /** The store refused the call, or it was never sent; nothing changed. */
        NotDone,
        /** The transaction may have taken effect, or may later while its conditions still hold. */
        Unknown,
        /** A lease named in the transaction has ended; nothing changed. */
        LeaseEnded,
    };
    Outcome outcome = Unknown;
    /** Revision of the written keys, after @c Committed. */
    Revision revision;
    std::vector<StoreEntry> current;
};

/** A key-value store with transactions over several keys; callbacks run on the control thread. */
class TransactionalStore
{
public:
    virtual ~TransactionalStore() = default;

    /** Reads all keys that begin with @p prefix; the pages of a long list are not one snapshot. */
    virtual void list(const std::string &prefix, std::function<void(StoreRead)> done) = 0;
    /** Checks with a short timeout whether the store responds at all. */
    virtual void probe(std::function<void(bool answers)> done) = 0;
    virtual void commit(StoreTransaction transaction, std::function<void(CommitResult)> done) = 0;
    virtual void createLease(Duration ttl, std::function<void(StoreLease)> done) = 0;
    virtual void renewLease(StoreLeaseId id, std::function<void(StoreLease)> done) = 0;
};

} // namespace Cranberrymount
