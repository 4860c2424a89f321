#include "Transport/RequestMemoryBudget.h"

#include "Transport/BootClock.h"

#include <glog/logging.h>

#include <algorithm>
#include <string_view>

#include <sys/resource.h>
#include <sys/socket.h>

namespace Cranberrymount {

namespace {

/** RESTinio's connection object, its read buffer of 8 KiB, its timer and its socket. */
constexpr std::size_t ConnectionBytes = 12'288;
/** A string that grows has up to twice the capacity of its bytes. */
constexpr std::size_t BytesPerReceivedByte = 2;
/** RESTinio keeps 16 bytes for each chunk, in a vector of up to twice that capacity; a chunk has
 * two line ends. */
constexpr std::size_t BytesPerLineEnd = 16;
/** A step of a submitted job needs 14 bytes of JSON and 144 bytes once it is decoded. */
constexpr std::size_t BytesPerDecodedByte = 12;
/** Requests of up to this size are still handled when larger ones are refused. */
constexpr std::size_t SmallRequestBytes = 32'768;
/** Part of the machine's memory for requests and responses; the node's state, copies during the
 * decoding of a request and the fragmentation of the heap need the rest. */
constexpr std::size_t MemoryDivisor = 4;
/** Descriptors for files. */
constexpr std::size_t FileDescriptors = 200;
constexpr std::size_t MinConnections = 16;
/** Added to the time without progress, so that the size counts for active connections, too. */
constexpr Duration ProgressOffset{100};
/** A response is closed in favour of others only if the client takes nothing for this time. */
constexpr Duration MinWriteStall{1000};
/** Most refused clients that may read their response at a time, and for how long. */
constexpr std::size_t MaxRefusals = 32;
constexpr Duration MaxRefusalTime{2000};
constexpr Duration LogInterval{1000};
/** After a longer pause of the process, what has arrived in the meantime must be read first; sweeps
 * are a second apart. */
constexpr Duration MaxSweepGap{2000};
constexpr Duration GraceAfterPause{1000};

double milliseconds(Instant::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

/** Uses the library's search, which is faster than comparing each byte: most bodies have few lines.
 */
std::size_t countLineEnds(std::string_view data)
{
    std::size_t count = 0;
    for (auto end = data.find('\n'); end != data.npos; end = data.find('\n', end + 1))
        ++count;
    return count;
}

} // namespace

RequestMemoryBudget::Limits RequestMemoryBudget::limitsForMachine(MemoryMb memory,
                                                                  std::size_t descriptors)
{
    rlimit processLimit{};
    if (getrlimit(RLIMIT_NOFILE, &processLimit) == 0)
        descriptors = std::min<std::size_t>(descriptors, processLimit.rlim_cur);
    const std::size_t usable = descriptors > FileDescriptors ? descriptors - FileDescriptors : 0;
    Limits limits;
    limits.bytes = static_cast<std::size_t>(memory.value()) * 1'048'576 / MemoryDivisor;
    // The other half of the descriptors is for connections to workers, peers and the store; the
    // other half of the memory is for requests.
    limits.connections =
        std::max(std::min(usable / 2, limits.bytes / 2 / ConnectionBytes), MinConnections);
    return limits;
}

RequestMemoryBudget::Account::Account(std::shared_ptr<RequestMemoryBudget> budget, int descriptor)
    : m_budget(std::move(budget))
    , m_descriptor(descriptor)
    , m_phaseSince(bootInstant())
    , m_progressAt(m_phaseSince)
{
}

RequestMemoryBudget::Account::~Account()
{
    close();
    const std::lock_guard lock(m_budget->m_mutex);
    m_budget->remove(*this);
}

void RequestMemoryBudget::Account::received(const char *data, std::size_t length)
{
    const std::size_t lineEnds = countLineEnds({data, length});
    const Instant now = bootInstant();
    const std::lock_guard lock(m_budget->m_mutex);
    m_progressAt = now;
    if (m_phase != Phase::Reading)
        return;
    if (m_held == 0)
        m_phaseSince = now;
    m_budget->setPhase(*this, m_phase,
                       m_held + BytesPerReceivedByte * length + BytesPerLineEnd * lineEnds);
    m_budget->enforceMemory(now);
}

bool RequestMemoryBudget::Account::beginHandling(std::size_t bodyBytes)
{
    const std::lock_guard lock(m_budget->m_mutex);
    const std::size_t held = m_held + BytesPerDecodedByte * bodyBytes;
    const std::size_t limit = m_budget->m_limits.bytes;
    const std::size_t available = held <= SmallRequestBytes ? limit / 4 * 3 : limit / 2;
    const bool fits = m_budget->m_handledBytes + held <= available;
    if (fits)
        m_budget->setPhase(*this, Phase::Handling, held);
    else
        ++m_budget->m_counts.refusedForMemory;
    return fits;
}

void RequestMemoryBudget::Account::beginResponse(std::size_t size)
{
    const Instant now = bootInstant();
    const std::lock_guard lock(m_budget->m_mutex);
    if (m_phase == Phase::Closed)
        return;
    m_phaseSince = m_progressAt = now;
    m_budget->setPhase(*this, Phase::Writing, size);
    m_budget->enforceMemory(now);
}

void RequestMemoryBudget::Account::responseProgressed()
{
    const Instant now = bootInstant();
    const std::lock_guard lock(m_budget->m_mutex);
    m_progressAt = now;
}

void RequestMemoryBudget::Account::endResponse()
{
    const Instant now = bootInstant();
    const std::lock_guard lock(m_budget->m_mutex);
    if (m_phase == Phase::Closed)
        return;
    m_phaseSince = m_progressAt = now;
    m_budget->setPhase(*this, Phase::Reading, 0);
}

void RequestMemoryBudget::Account::countRefusal()
{
    const std::lock_guard lock(m_budget->m_mutex);
    ++m_budget->m_counts.refusedOverLimits;
}

bool RequestMemoryBudget::Account::beginRefusal()
{
    const Instant now = bootInstant();
    const std::lock_guard lock(m_budget->m_mutex);
    if (m_phase != Phase::Reading || m_budget->m_refusals >= MaxRefusals)
        return false;
    m_phaseSince = now;
    m_budget->setPhase(*this, Phase::Refusing, 0);
    return true;
}

void RequestMemoryBudget::Account::close()
{
    const std::lock_guard lock(m_budget->m_mutex);
    if (m_phase == Phase::Closed)
        return;
    if (!m_isEvicted)
        --m_budget->m_openConnections;
    // A request that is being handled holds its memory until it has a response.
    m_budget->setPhase(*this, Phase::Closed, m_held);
}

bool RequestMemoryBudget::Account::isInRequest() const
{
    const std::lock_guard lock(m_budget->m_mutex);
    return m_phase == Phase::Reading && m_held > 0;
}

RequestMemoryBudget::RequestMemoryBudget(const Limits &limits)
    : m_limits(limits)
    , m_sweptAt(bootInstant())
    , m_loggedAt(m_sweptAt)
{
}

RequestMemoryBudget::AccountHandle RequestMemoryBudget::open(int descriptor)
{
    auto account = std::make_shared<Account>(shared_from_this(), descriptor);
    const std::lock_guard lock(m_mutex);
    const Instant now = account->m_phaseSince;
    add(*account);
    while (m_openConnections > m_limits.connections) {
        Account *longest = findHighest([now](const Account &candidate) -> Score {
            if (candidate.m_phase == Account::Phase::Reading
                || candidate.m_phase == Account::Phase::Refusing)
                return 1 + milliseconds(now - candidate.m_phaseSince);
            return candidate.m_phase == Account::Phase::Writing
                    && now - candidate.m_progressAt >= MinWriteStall
                ? milliseconds(now - candidate.m_progressAt)
                : 0;
        });
        if (!longest)
            break;
        ++m_counts.closedForConnections;
        evict(*longest);
    }
    enforceMemory(now);
    return account;
}

void RequestMemoryBudget::closeStalled()
{
    const Instant now = bootInstant();
    const std::lock_guard lock(m_mutex);
    // Each server sweeps, so the first sweep after a pause must hold the others back, too.
    if (now - m_sweptAt > MaxSweepGap)
        m_graceUntil = now + GraceAfterPause;
    m_sweptAt = now;
    if (now < m_graceUntil)
        return;
    for (Account *account : m_accounts) {
        if (account->m_isEvicted)
            continue;
        if (account->m_phase == Account::Phase::Reading && account->m_held > 0
            && now - account->m_progressAt >= m_limits.progressTimeout) {
            ++m_counts.closedStalled;
            evict(*account);
        } else if (account->m_phase == Account::Phase::Refusing
                   && now - account->m_phaseSince >= MaxRefusalTime) {
            evict(*account);
        }
    }
    log(now);
}

RequestMemoryBudget::Counts RequestMemoryBudget::counts() const
{
    const std::lock_guard lock(m_mutex);
    Counts counts = m_counts;
    counts.heldBytes = m_heldBytes;
    counts.openConnections = m_openConnections;
    return counts;
}

void RequestMemoryBudget::add(Account &account)
{
    account.m_index = m_accounts.size();
    m_accounts.push_back(&account);
    ++m_openConnections;
    m_heldBytes += ConnectionBytes;
}

void RequestMemoryBudget::remove(Account &account)
{
    setPhase(account, Account::Phase::Closed, 0);
    if (!account.m_isEvicted)
        m_heldBytes -= ConnectionBytes;
    m_accounts[account.m_index] = m_accounts.back();
    m_accounts[account.m_index]->m_index = account.m_index;
    m_accounts.pop_back();
}

void RequestMemoryBudget::setPhase(Account &account, Account::Phase phase, std::size_t held)
{
    if (account.m_phase == Account::Phase::Refusing)
        --m_refusals;
    if (phase == Account::Phase::Refusing)
        ++m_refusals;
    const auto isHandled = [](Account::Phase value) { return value == Account::Phase::Handling; };
    if (isHandled(account.m_phase))
        m_handledBytes -= account.m_held;
    if (isHandled(phase))
        m_handledBytes += held;
    if (!account.m_isEvicted) {
        m_heldBytes -= account.m_held;
        m_heldBytes += held;
    }
    account.m_phase = phase;
    account.m_held = held;
}

void RequestMemoryBudget::enforceMemory(Instant now)
{
    while (m_heldBytes > m_limits.bytes) {
        Account *largest = findHighest([now](const Account &candidate) -> Score {
            const auto idle = now - candidate.m_progressAt;
            const bool isClosable = candidate.m_phase == Account::Phase::Reading
                || (candidate.m_phase == Account::Phase::Writing && idle >= MinWriteStall);
            return isClosable
                ? static_cast<double>(candidate.m_held) * milliseconds(idle + ProgressOffset)
                : 0;
        });
        if (!largest)
            return;
        ++m_counts.closedForMemory;
        evict(*largest);
    }
}

template <typename Function>
RequestMemoryBudget::Account *RequestMemoryBudget::findHighest(Function score) const
{
    Account *best = nullptr;
    Score bestScore = 0;
    for (Account *account : m_accounts) {
        if (account->m_isEvicted)
            continue;
        const Score candidate = score(*account);
        if (candidate <= bestScore)
            continue;
        best = account;
        bestScore = candidate;
    }
    return best;
}

void RequestMemoryBudget::evict(Account &account)
{
    m_heldBytes -= account.m_held + ConnectionBytes;
    --m_openConnections;
    account.m_isEvicted = true;
    // Ends the pending read or write; the connection is then closed on its own thread.
    ::shutdown(account.m_descriptor, SHUT_RDWR);
}

void RequestMemoryBudget::log(Instant now)
{
    const auto since = [this](uint64_t Counts::*count) {
        return m_counts.*count - m_loggedCounts.*count;
    };
    const uint64_t all = since(&Counts::closedForMemory) + since(&Counts::closedForConnections)
        + since(&Counts::closedStalled) + since(&Counts::refusedOverLimits)
        + since(&Counts::refusedForMemory);
    if (all == 0 || now - m_loggedAt < LogInterval)
        return;
    LOG(INFO) << "event=connections_limited closed_for_memory=" << since(&Counts::closedForMemory)
              << " closed_for_connections=" << since(&Counts::closedForConnections)
              << " closed_stalled=" << since(&Counts::closedStalled)
              << " refused_over_limits=" << since(&Counts::refusedOverLimits)
              << " refused_for_memory=" << since(&Counts::refusedForMemory)
              << " held_bytes=" << m_heldBytes << " open=" << m_openConnections;
    m_loggedCounts = m_counts;
    m_loggedAt = now;
}

} // namespace Cranberrymount
