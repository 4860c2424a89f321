#pragma once

#include "Protocol/Json.h"
#include "State/Configuration.h"

#include <string>
#include <variant>
#include <vector>

namespace Cranberrymount {

/** Take an availability zone out: no new work, running work moves away. */
struct DrainZone
{
    ZoneId zone;
};

/** Bring an availability zone back. */
struct ReturnZone
{
    ZoneId zone;
};

/** Set a team's share and upper limit. */
struct GrantShare
{
    TeamId team;
    double share = 1.0;
    Resources limit;
};

/** Let a team show a further key. */
struct IssueKey
{
    TeamId team;
    std::string keyHash;
};

/** Stop a key from working. */
struct WithdrawKey
{
    TeamId team;
    std::string keyHash;
};

/** Finish a job by a time. */
struct FinishBy
{
    JobId job;
    int64_t deadline = 0;
};

/** Bring teams and queues to what a file in version control declares; keys stay as they are. */
struct ApplyDeclaration
{
    Configuration declared;
};

/** What an operator wants. */
using Intent = std::variant<DrainZone, ReturnZone, GrantShare, IssueKey, WithdrawKey, FinishBy,
                            ApplyDeclaration>;

/** @throws ProtocolError if @p json is not an intent; names what is wrong. */
Intent intentFromJson(const Json &json);

/**
 * Changes @p configuration as @p intent asks.
 * @return an empty text, or why the intent makes no sense on this configuration.
 */
std::string applyIntent(const Intent &intent, Configuration &configuration);

/** @return one sentence a change of @p after against @p before; decisions are left out. */
std::vector<std::string> describeChanges(const Configuration &before, const Configuration &after);

/**
 * Reads teams and queues from a TOML declaration.
 * @throws SettingsError that lists every fault with file and line.
 */
Configuration readDeclaration(const std::string &text, const std::string &name);

} // namespace Cranberrymount
