#pragma once

#include "Service/EntryNode.h"
#include "Service/Intent.h"
#include "Service/JsonResponse.h"

#include <functional>
#include <string>

namespace Cranberrymount {

/**
 * Plans: the changes that an intent would make. A plan stays in the store for 12 to 24 hours, in
 * which an operator can confirm or reject it.
 *
 * The latest decisions are part of the configuration, so that one compare-and-swap both records a
 * decision and applies the plan: of two operators one wins, and repeating a decision has no further
 * effect. Runs on the control thread.
 */
class PlanApi
{
public:
    using Done = std::function<void(JsonResponse)>;

    explicit PlanApi(EntryNode &node);

    /** Stores a plan for the intent that @p intent encodes. */
    void create(const Json &intent, const std::string &trace, Done done);
    void show(const PlanId &id, Done done);
    void decide(const PlanId &id, PlanDecision decision, Done done);

private:
    void store(const PlanId &id, Json plan, Done done);
    /** What a plan in the store would do, and to which configuration. */
    struct StoredPlan
    {
        Intent intent;
        Configuration base;
    };
    void applyDecision(const PlanId &id, PlanDecision decision, const StoredPlan &plan,
                       const Done &done);

    EntryNode &m_node;
};

} // namespace Cranberrymount
