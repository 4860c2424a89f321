#pragma once

#include "State/Ids.h"
#include "State/Resources.h"
#include "State/Time.h"
#include "State/Worker.h"

#include <optional>
#include <string>

namespace Cranberrymount {

/** Settings of one node of a cell; see docs/Configuration.md. */
struct CellSettings
{
    EntryId node;
    ZoneId zone;
    /** Processor capacity of the node; a node with more is preferred as the leader. */
    CpuMillis processor{1000};
    /** Bandwidth of the node's link, in Mbit/s. */
    double linkBandwidth = 1000;
    /** Memory of the node's machine. The default is the users' smallest machine. */
    MemoryMb memory{160};
    /** Number of file descriptors that the process may open. */
    std::size_t maxDescriptors = 4096;
    /** Longest body of a submitter's request, in bytes. */
    std::size_t maxBodyBytes = 1'048'576;
    /** Address on which the node listens for submitters' calls. */
    Endpoint front;
    /** Address on which it listens for the balancer's readiness probes. */
    Endpoint readiness;
    /** Address on which it listens for the other nodes of the cell. */
    Endpoint peer;
    /** Address on which it serves its metrics. */
    Endpoint metrics;
    Endpoint store;
    /** Empty if no queue needs advice. */
    Endpoint advisor;
    /** Longest lease that a worker grants. */
    Duration workerLease{6000};
    /** How long a worker lets a member of a gang wait for the other members. */
    Duration gangWait{3000};
    /** A change of the configuration must take effect within this time. */
    Duration configApply{2000};
    /** Run time of a step away from its data rack, or of a gang that wants one rack on several, as
     * a multiple of the local run time. */
    double remoteFactor = 1;
    /** How long the status of an ended job can be read. */
    Duration statusRetention{120'000};
    /** Time between the signal that stops the process and the kill. */
    Duration stopGrace{6000};
};

/**
 * Reads settings from TOML text.
 * @param name the name of the source in error messages
 * @throws SettingsError that lists every fault, one a line
 */
CellSettings parseCellSettings(const std::string &text, const std::string &name);

/** @throws SettingsError if the file cannot be read or has faults. */
CellSettings readCellSettings(const std::string &path);

} // namespace Cranberrymount
