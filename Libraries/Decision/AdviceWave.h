#pragma once

#include <cstddef>
#include <cstdint>

namespace Cranberrymount {

/**
 * Chooses how many workers the calls of one wave name for a gang, so that the gang can start after
 * this one wave in most cases. A gang that lacks a single place has to ask again, which costs at
 * least the base time of a call; naming a worker more costs little.
 */
class AdviceWave
{
public:
    /**
     * @param members number of the gang's tasks
     * @param placesWithTicket places that need no further ticket
     * @param allowedFraction estimate of the part of the workers on which the gang is allowed
     * @param efficientCallSize number of workers whose cost in a call equals the call's base cost
     */
    AdviceWave(uint32_t members, int64_t placesWithTicket, double allowedFraction,
               std::size_t efficientCallSize);

    /** Names a worker that has room for @p places members and on which the gang is allowed. */
    void nameAllowed(int64_t places);
    /** Names a worker that has room for @p places members and that was not asked about yet. */
    void nameUnknown(int64_t places);

    /** @return true if the named workers are likely to have enough places when the answers arrive;
     * @p isNextUnknown tells that the next worker to name was not asked about yet. */
    bool isEnough(bool isNextUnknown) const;
    /** @return true if the named workers are expected to have a place for each member. */
    bool fitsGang() const { return m_expected >= m_members; }

private:
    double m_members;
    double m_allowedFraction;
    std::size_t m_minWorkers;
    std::size_t m_named = 0;
    /** Mean and variance of the number of places. */
    double m_expected;
    double m_variance = 0;
};

} // namespace Cranberrymount
