#pragma once

#include "Protocol/Json.h"
#include "State/Configuration.h"

#include <string>
#include <variant>
#include <vector>

namespace Cranberrymount {

/** Takes an availability zone out of service: it gets no new work, and running work moves away. */
struct DrainZone
{
    ZoneId zone;
};

/** Returns an availability zone to service. */
struct ReturnZone
{
    ZoneId zone;
};

/** Sets a team's share and upper limit. */
struct GrantShare
{
    TeamId team;
    double share = 1.0;
    Resources limit;
};

/** Adds a key with which a team can authenticate. */
struct IssueKey
{
    TeamId team;
    std::string keyHash;
};

/** Revokes one of a team's keys. */
struct WithdrawKey
{
    TeamId team;
    std::string keyHash;
};

/** Sets a job's deadline, in seconds since the Unix epoch. */
struct FinishBy
{
    JobId job;
    int64_t deadline = 0;
};

/** Replaces all teams and queues by those of a declaration; teams that remain keep their keys. */
struct ApplyDeclaration
{
    Configuration declared;
};

/** A change of the configuration that an operator requests. */
using Intent = std::variant<DrainZone, ReturnZone, GrantShare, IssueKey, WithdrawKey, FinishBy,
                            ApplyDeclaration>;

/** @throws ProtocolError that names the fault if @p json is not a valid intent. */
Intent intentFromJson(const Json &json);

/**
 * Applies @p intent to @p configuration.
 * @return an empty string, or why the intent cannot be applied to this configuration.
 */
std::string applyIntent(const Intent &intent, Configuration &configuration);

/** @return one sentence for each change from @p before to @p after; decisions on plans are left
 * out. */
std::vector<std::string> describeChanges(const Configuration &before, const Configuration &after);

/**
 * Reads teams and queues from a TOML declaration.
 * @throws SettingsError that lists every fault with file and line.
 */
Configuration readDeclaration(const std::string &text, const std::string &name);

} // namespace Cranberrymount
