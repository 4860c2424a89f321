#pragma once

#include "State/JobTable.h"

#include <functional>
#include <string>
#include <vector>

namespace Cranberrymount {

/** Asks which of some workers may run a step. */
struct AdviceCall
{
    StepKey step;
    std::vector<WorkerId> workers;
    /** Longest time that the caller waits for the reply. */
    Duration timeout{0};
};

/** Permission to start tasks of one step on one worker. */
struct AdviceTicket
{
    WorkerId worker;
    std::string ticket;
};

struct AdviceReply
{
    /** False if the advisor did not reply; nothing is known about the requested workers then. */
    bool answered = false;
    /** Workers that may run the step; requested workers that are not listed may not. */
    std::vector<AdviceTicket> allowed;
};

/** Decides which workers may run a step; callbacks run on the control thread. */
class PlacementAdvisor
{
public:
    virtual ~PlacementAdvisor() = default;
    virtual void ask(AdviceCall call, std::function<void(AdviceReply)> done) = 0;
};

} // namespace Cranberrymount
