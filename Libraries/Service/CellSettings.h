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
    /** Share of a processor that the node has; the stronger of two nodes leads. */
    CpuMillis processor{1000};
    /** Where submitters' calls come in. */
    Endpoint front;
    /** Where the balancer's probes come in. */
    Endpoint readiness;
    /** Where the other nodes of the cell connect. */
    Endpoint peer;
    Endpoint metrics;
    Endpoint store;
    /** Not set if no queue needs advice. */
    Endpoint advisor;
    /** Longest lease that a worker grants. */
    Duration workerLease{6000};
    /** How long an ended job is shown. */
    Duration statusLife{120'000};
    /** Time between the signal to stop and the kill. */
    Duration stopGrace{6000};
};

/**
 * Reads settings from TOML text.
 * @param name names the source in faults
 * @throws SettingsError with every fault, a line each
 */
CellSettings parseCellSettings(const std::string &text, const std::string &name);

/** @throws SettingsError if the file cannot be read or has faults. */
CellSettings readCellSettings(const std::string &path);

} // namespace Cranberrymount
