#pragma once

#include "State/Time.h"

namespace Cranberrymount {

/** What the decision depends on whether a step waits for a local placement although it could start
 * elsewhere at once. Local is the step's data rack or, for a gang that wants one rack, a rack that
 * holds all its members. */
struct LocalityChoice
{
    /** Expected run time of a local placement. */
    Duration runTime{0};
    /** Run time of a remote placement as a multiple of @c runTime. */
    double remoteFactor = 1;
    /** How much later the step can start and still meet its objective. */
    Duration slack{0};
    /** Time since the step could first have started remotely. */
    Duration waited{0};
};

/** @return the time that a local placement saves: the difference of the two run times. */
Duration localityGain(const LocalityChoice &choice);

/**
 * @return how much longer the step may wait; 0 if it should start remotely now. All waits of a step
 * together stay below the gain, so that a step which waits in vain ends later than a remote start
 * at once by less than the gain, however often its forecast is wrong.
 */
Duration maxLocalityWait(const LocalityChoice &choice);

/** @return true if a local placement that is expected after @p expectedWait ends before a remote
 * one that starts now, and meets the objective. */
bool isWorthWaiting(const LocalityChoice &choice, Duration expectedWait);

} // namespace Cranberrymount
