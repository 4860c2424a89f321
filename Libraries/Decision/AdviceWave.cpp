#include "Decision/AdviceWave.h"

#include <cmath>

namespace Cranberrymount {

namespace {

/** Places to ask for, as a multiple of the members. In a pool that is 77% used, others take about a
 * third of the places while the calls are in flight. */
constexpr double PlacesPerMember = 1.43;
/** A call about workers that were not asked about yet names at least the efficient call size
 * divided by this, which makes the call longer by a quarter of its base time at most. */
constexpr std::size_t MinWorkersDivisor = 4;

} // namespace

AdviceWave::AdviceWave(uint32_t members, int64_t placesWithTicket, double allowedFraction,
                       std::size_t efficientCallSize)
    : m_members(members)
    , m_allowedFraction(allowedFraction)
    , m_minWorkers(efficientCallSize / MinWorkersDivisor)
    , m_expected(static_cast<double>(placesWithTicket))
{
}

void AdviceWave::nameAllowed(int64_t places)
{
    ++m_named;
    m_expected += static_cast<double>(places);
}

void AdviceWave::nameUnknown(int64_t places)
{
    ++m_named;
    const auto count = static_cast<double>(places);
    m_expected += m_allowedFraction * count;
    // Each worker is allowed or not with all its places, so few large workers scatter most.
    m_variance += m_allowedFraction * (1 - m_allowedFraction) * count * count;
}

bool AdviceWave::isEnough(bool isNextUnknown) const
{
    if (isNextUnknown && m_named < m_minWorkers)
        return false;
    return m_expected - std::sqrt(m_variance) >= PlacesPerMember * m_members;
}

} // namespace Cranberrymount
