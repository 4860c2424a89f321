#include "Decision/LocalityWait.h"

#include <algorithm>

namespace Cranberrymount {

Duration localityGain(const LocalityChoice &choice)
{
    const double runTime = static_cast<double>(std::max(choice.runTime, Duration(0)).count());
    return Duration(static_cast<int64_t>(runTime * std::max(0.0, choice.remoteFactor - 1)));
}

Duration maxLocalityWait(const LocalityChoice &choice)
{
    return std::max(Duration(0), std::min(localityGain(choice) - choice.waited, choice.slack));
}

bool isWorthWaiting(const LocalityChoice &choice, Duration expectedWait)
{
    return expectedWait < maxLocalityWait(choice);
}

} // namespace Cranberrymount
