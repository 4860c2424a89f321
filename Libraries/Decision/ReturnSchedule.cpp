#include "Decision/ReturnSchedule.h"

#include <algorithm>

namespace Cranberrymount {

namespace {

/** A job that has not returned this long after its return time was given up by its client. */
constexpr Duration MaxReturnDelay{5000};
/** Retry-After is given in whole seconds, so a client returns up to a second late. */
constexpr Duration RoundingTime{1000};
/** Time between two removals of the jobs that have been given up. */
constexpr Duration CleanInterval{1000};

} // namespace

Duration ReturnSchedule::recordRefusal(const TeamId &team, const JobId &job, double jobsPerSecond,
                                       Instant now)
{
    removePassed(now);
    TeamReturns &known = m_teams[team];
    const Instant earliest = now + m_bounds.shortest;
    const auto found = known.returns.find(job);
    // An early try must not lose the job's place in the order.
    if (found != known.returns.end() && found->second + RoundingTime > now)
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

void ReturnSchedule::removePassed(Instant now)
{
    if (now - m_cleanedAt < CleanInterval)
        return;
    m_cleanedAt = now;
    for (auto &[id, team] : m_teams)
        std::erase_if(team.returns,
                      [now](const auto &entry) { return entry.second + MaxReturnDelay < now; });
    std::erase_if(m_teams, [](const auto &entry) { return entry.second.returns.empty(); });
}

} // namespace Cranberrymount
