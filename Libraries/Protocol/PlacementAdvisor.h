#pragma once

#include "State/JobTable.h"

#include <functional>
#include <string>
#include <vector>

namespace Cranberrymount {

struct AdviceCall
{
    StepKey step;
    std::vector<WorkerId> workers;
    /** Longest time that the caller waits. */
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
    /** False if no answer came; then nothing is known of the workers named. */
    bool answered = false;
    /** Workers that may run the step; those named and not listed here may not. */
    std::vector<AdviceTicket> allowed;
};

/** Knows which workers may run a step; callbacks run on the control thread. */
class PlacementAdvisor
{
public:
    virtual ~PlacementAdvisor() = default;
    virtual void ask(AdviceCall call, std::function<void(AdviceReply)> done) = 0;
};

} // namespace Cranberrymount
