#pragma once

#include "State/Resources.h"
#include "State/Time.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

namespace Cranberrymount {

/**
 * Limits what the connections of all HTTP servers of a process hold together: memory of requests
 * that are read or handled and of responses that are not written, and file descriptors.
 *
 * When a limit is reached, a connection that makes no progress is closed in favour of the others. A
 * connection whose request is being handled is never closed: its memory is not free before the
 * response. Safe to use from any thread.
 */
class RequestMemoryBudget : public std::enable_shared_from_this<RequestMemoryBudget>
{
public:
    struct Limits
    {
        /** Bytes of memory that all connections may hold. */
        std::size_t bytes = std::size_t(40) * 1024 * 1024;
        /** Number of connections that may be open. */
        std::size_t connections = 4096;
        /** A request of which nothing arrives for this time is closed. */
        Duration progressTimeout{4000};
    };

    /**
     * @param memory memory of the machine
     * @param descriptors number of descriptors that the process may open; the process's own limit
     *        applies if it is lower
     * @return limits that leave enough memory and descriptors for the rest of the process
     */
    static Limits limitsForMachine(MemoryMb memory, std::size_t descriptors);

    /** Totals since the start of the process, and what is held now. */
    struct Counts
    {
        uint64_t closedForMemory = 0;
        uint64_t closedForConnections = 0;
        /** Requests without progress. */
        uint64_t closedStalled = 0;
        /** Requests that exceeded the size or the total time of one request. */
        uint64_t refusedOverLimits = 0;
        /** Requests that were read, but not handled, since those being handled hold too much. */
        uint64_t refusedForMemory = 0;
        std::size_t heldBytes = 0;
        std::size_t openConnections = 0;
    };

    /** What one connection holds; releases it when it is destroyed. */
    class Account
    {
    public:
        Account(std::shared_ptr<RequestMemoryBudget> budget, int descriptor);
        ~Account();

        Account(const Account &) = delete;
        Account &operator=(const Account &) = delete;

        /** Records that a part of a request arrived. */
        void received(const char *data, std::size_t length);
        /**
         * Records that the request is complete.
         * @param bodyBytes size of its body, which is decoded
         * @return false if it must not be handled, since the requests that are being handled hold
         *         too much
         */
        bool beginHandling(std::size_t bodyBytes = 0);
        /** Records that a response of @p size bytes replaces the request. */
        void beginResponse(std::size_t size);
        /** Records that the client took a part of the response. */
        void responseProgressed();
        /** Records that the response is written; the next request may follow. */
        void endResponse();
        /** Counts a request that is closed before it was whole. */
        void countRefusal();
        /**
         * Records that the connection gets a response although its request is not whole.
         * @return true if the connection may stay open for a moment, so that the client can read
         *         the response
         */
        bool beginRefusal();
        /** Must be called before the descriptor is closed. */
        void close();
        /** @return true if the budget has ended the connection, which must be closed now. */
        bool isEvicted() const { return m_isEvicted; }
        /** @return true if a part of a request, but not all of it, was received. */
        bool isInRequest() const;

    private:
        friend class RequestMemoryBudget;
        enum class Phase {
            Reading,
            Handling,
            Writing,
            /** Discards what a refused client sends. */
            Refusing,
            Closed,
        };

        const std::shared_ptr<RequestMemoryBudget> m_budget;
        const int m_descriptor;
        std::size_t m_index = 0;
        Phase m_phase = Phase::Reading;
        /** Bytes beyond those that each connection needs. */
        std::size_t m_held = 0;
        Instant m_phaseSince;
        Instant m_progressAt;
        std::atomic<bool> m_isEvicted = false;
    };
    using AccountHandle = std::shared_ptr<Account>;

    explicit RequestMemoryBudget(const Limits &limits);

    /** Adds the connection @p descriptor; may close another one, or this one if no other can be. */
    AccountHandle open(int descriptor);
    /** Closes connections whose requests make no progress; must be called about once a second. */
    void closeStalled();
    Counts counts() const;

private:
    using Score = double;

    void add(Account &account);
    void remove(Account &account);
    void setPhase(Account &account, Account::Phase phase, std::size_t held);
    /** Ends connections until the rest holds no more than the limit. */
    void enforceMemory(Instant now);
    /** @return the account with the highest positive @p score; null if there is none. */
    template <typename Function> Account *findHighest(Function score) const;
    void evict(Account &account);
    void log(Instant now);

    const Limits m_limits;
    mutable std::mutex m_mutex;
    std::vector<Account *> m_accounts;
    /** Of all connections that are not evicted, with what each connection needs. */
    std::size_t m_heldBytes = 0;
    std::size_t m_handledBytes = 0;
    std::size_t m_openConnections = 0;
    std::size_t m_refusals = 0;
    Counts m_counts;
    Counts m_loggedCounts;
    Instant m_sweptAt;
    /** After a pause of the process: no connection counts as stalled before this time. */
    Instant m_graceUntil;
    Instant m_loggedAt;
};

} // namespace Cranberrymount
