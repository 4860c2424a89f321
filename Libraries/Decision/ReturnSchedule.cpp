#include "Decision/ReturnSchedule.h"

#include <algorithm>

namespace Cranberrymount {

namespace {

/** Jobs that did not return within this time after theirs have been given up by their clients. */
constexpr Duration MaxReturnDelay{5000};
/** Time between two removals of the jobs that have been given up. */
constexpr Duration CleanInterval{1000};

} // namespace

Duration ReturnSchedule::recordRefusal(const TeamId &team, const JobId &job, double jobsPerSecond,
                                       Instant now)
{
    TeamReturns &known = m_teams[team];
    removePassed(known, now);
    const Instant earliest = now + m_bounds.shortest;
    const auto found = known.returns.find(job);
    // An early try must not lose the job's place in the order.
    if (found != known.returns.end() && found->second > now)
        return std::max(std::chrono::ceil<Duration>(found->second - now), m_bounds.shortest);
    const auto spacing = std::chrono::duration_cast<Instant::duration>(
        std::chrono::duration<double>(1 / jobsPerSecond));
    known.lastReturn =
        std::min(std::max(earliest, known.lastReturn + spacing), Instant(now + m_bounds.longest));
    known.returns[job] = known.lastReturn;
    return std::chrono::ceil<Duration>(known.lastReturn - now);
}

void ReturnSchedule::recordAdmission(const TeamId &team, const JobId &job)
{
    const auto found = m_teams.find(team);
    if (found == m_teams.end())
        return;
    found->second.returns.erase(job);
    if (found->second.returns.empty())
        m_teams.erase(found);
}

std::size_t ReturnSchedule::scheduledCount(const TeamId &team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? 0 : found->second.returns.size();
}

void ReturnSchedule::removePassed(TeamReturns &team, Instant now)
{
    if (now - team.cleanedAt < CleanInterval)
        return;
    team.cleanedAt = now;
    std::erase_if(team.returns,
                  [now](const auto &entry) { return entry.second + MaxReturnDelay < now; });
}

} // namespace Cranberrymount
