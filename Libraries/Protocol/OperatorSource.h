#pragma once

#include "State/CellConfiguration.h"

#include <functional>
#include <optional>
#include <set>

namespace Cranberrymount {

/** What operators ask for, as it stands in the platform's store. */
struct OperatorView
{
    /** False if the store did not answer; then the rest says nothing. */
    bool answered = false;
    std::optional<CellConfiguration> configuration;
    /** Zones whose workers get no new work. */
    std::set<ZoneId> evacuated;
};

/** What workers say of themselves; entries that cannot be read are logged and left out. */
struct WorkerDirectory
{
    bool answered = false;
    std::vector<CellWorker> workers;
};

/** Reads what operators and workers publish; callbacks run on the control thread. */
class OperatorSource
{
public:
    virtual ~OperatorSource() = default;
    virtual void readOperators(std::function<void(OperatorView)> done) = 0;
    virtual void readWorkers(std::function<void(WorkerDirectory)> done) = 0;
};

} // namespace Cranberrymount
