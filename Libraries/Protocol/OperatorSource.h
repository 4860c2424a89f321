#pragma once

#include "State/CellConfiguration.h"

#include <functional>
#include <optional>
#include <set>

namespace Cranberrymount {

/** Configuration and evacuations that operators have set in the platform's store. */
struct OperatorView
{
    /** False if the store did not respond; the other fields are meaningless then. */
    bool answered = false;
    /** Unset if the store has no configuration or it cannot be decoded. */
    std::optional<CellConfiguration> configuration;
    /** Zones whose workers get no new tasks. */
    std::set<ZoneId> evacuated;
};

/** Workers that have registered in the store; undecodable entries are logged and left out. */
struct WorkerDirectory
{
    /** False if the store did not respond. */
    bool answered = false;
    std::vector<CellWorker> workers;
};

/** Reads what operators and workers publish in the store; callbacks run on the control thread. */
class OperatorSource
{
public:
    virtual ~OperatorSource() = default;
    virtual void readOperators(std::function<void(OperatorView)> done) = 0;
    virtual void readWorkers(std::function<void(WorkerDirectory)> done) = 0;
};

} // namespace Cranberrymount
