#pragma once

#include "State/Ids.h"
#include "State/Time.h"
#include "State/Worker.h"

#include <stdexcept>
#include <string>
#include <vector>

namespace Cranberrymount {

/** Settings that cannot be used; @c what lists every fault with file and line. */
class SettingsError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** What one entry instance is told at its start. */
struct Settings
{
    EntryId entry;
    ZoneId zone;
    /** Where callers, submitters and operators connect. */
    Endpoint http;
    /** Where other entry instances connect. */
    Endpoint peer;
    std::vector<Endpoint> peers;
    /** SHA-256 of the operators' key, in hex. */
    std::string operatorKeyHash;
    /** Shards that each zone's racks are hashed into; must be the same on all entries. */
    uint32_t shardsPerZone = 1;

    std::string storeUrl;
    std::string instancesUrl;

    std::size_t httpThreads = 2;
    std::size_t maxBodyBytes = 1'048'576;
    std::size_t maxWaitingRequests = 256;
    /** True if the API may cut connections, for failure tests. */
    bool faultsAllowed = false;

    Duration evidenceBound{4000};
    Duration heartbeatPeriod{1000};
    Duration storeLease{4000};
    Duration storeTimeout{1000};
    Duration workerLease{6000};
    Duration workerTimeout{1000};
    Duration orphanGrace{30'000};
    Duration instanceListPeriod{1000};
};

/** @return the text of a settings file. @throws SettingsError if it cannot be read. */
std::string readSettingsFile(const std::string &path);

/**
 * Reads settings.
 * @throws SettingsError that names each unknown key, wrong type, value out of range and missing
 * key with its line and what is allowed.
 */
Settings readSettings(const std::string &path);
/** As @c readSettings, from @p text; @p name stands for the file in messages. */
Settings parseSettings(const std::string &text, const std::string &name);

} // namespace Cranberrymount
