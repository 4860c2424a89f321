#pragma once

#include "Coordination/Journal.h"
#include "Protocol/TransactionalStore.h"

#include <map>

namespace Cranberrymount {

/** The keys of a transactional store in memory, without its responses and their faults. */
class StoreContents
{
public:
    /** Executes @p transaction if its conditions hold. @return its result */
    CommitResult apply(const StoreTransaction &transaction)
    {
        CommitResult result{CommitResult::Committed, {}, {}};
        for (const auto &condition : transaction.conditions) {
            const auto found = m_values.find(condition.key);
            const Revision current = found == m_values.end() ? Revision() : found->second.revision;
            if (current != condition.revision)
                result.outcome = CommitResult::Conflict;
            if (found != m_values.end())
                result.current.push_back(found->second);
        }
        if (result.outcome == CommitResult::Conflict)
            return result;
        result.revision = Revision(++m_revision);
        for (const auto &put : transaction.puts)
            m_values[put.key] = {put.key, put.value, result.revision};
        for (const std::string &key : transaction.removals)
            m_values.erase(key);
        return result;
    }

    /** Writes the leadership claim of @p holder. @return its revision */
    Revision claim(const std::string &holder)
    {
        m_values[LeaderKey] = {LeaderKey, holder, Revision(++m_revision)};
        return Revision(m_revision);
    }

    /** @return the entries whose keys begin with @p prefix */
    std::vector<StoreEntry> list(const std::string &prefix) const
    {
        std::vector<StoreEntry> entries;
        for (const auto &[key, entry] : m_values) {
            if (key.starts_with(prefix))
                entries.push_back(entry);
        }
        return entries;
    }

    bool has(const std::string &key) const { return m_values.contains(key); }

    /** Gives an existing key another value without a new revision, as a fault of the store does. */
    void damage(const std::string &key) { m_values.at(key).value = "damaged"; }

private:
    std::map<std::string, StoreEntry> m_values;
    uint64_t m_revision = 1;
};

} // namespace Cranberrymount
