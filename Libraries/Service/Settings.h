#pragma once

#include "State/Ids.h"
#include "State/Time.h"
#include "State/Worker.h"

#include <stdexcept>
#include <string>
#include <vector>

namespace Cranberrymount {

/** The settings are invalid; @c what lists every fault with file and line. */
class SettingsError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** Settings of one entry instance, read at its start. */
struct Settings
{
    EntryId entry;
    ZoneId zone;
    /** Address on which the entry listens for clients, submitters and operators. */
    Endpoint http;
    /** Address on which it listens for other entry instances. */
    Endpoint peer;
    /** Peer addresses of the other entry instances. */
    std::vector<Endpoint> peers;
    /** SHA-256 of the operators' key, in hex. */
    std::string operatorKeyHash;
    /** Number of shards that each zone's racks are hashed into; must be equal on all entries. */
    uint32_t shardsPerZone = 1;

    std::string storeUrl;
    std::string instancesUrl;

    std::size_t httpThreads = 2;
    std::size_t maxBodyBytes = 1'048'576;
    /** Memory of the machine, in MB. */
    int64_t memoryMb = 1024;
    std::size_t maxDescriptors = 4096;
    std::size_t maxWaitingRequests = 256;
    /** True if the API may block connections, for failure tests. */
    bool faultsAllowed = false;

    /** Age up to which freshness evidence of the configuration is valid. */
    Duration evidenceBound{4000};
    Duration heartbeatPeriod{1000};
    Duration storeLease{4000};
    Duration storeTimeout{1000};
    Duration workerLease{6000};
    Duration workerTimeout{1000};
    /** How long tasks on a worker keep running after its lease has expired. */
    Duration orphanGrace{30'000};
    Duration instanceListPeriod{1000};
};

/** @return the content of a settings file. @throws SettingsError if it cannot be read. */
std::string readSettingsFile(const std::string &path);

/**
 * Reads the settings file @p path.
 * @throws SettingsError that lists each unknown key, wrong type, value out of range and missing key
 * with its line and the allowed values.
 */
Settings readSettings(const std::string &path);
/** As @c readSettings, from TOML @p text; messages call the source @p name. */
Settings parseSettings(const std::string &text, const std::string &name);

} // namespace Cranberrymount
