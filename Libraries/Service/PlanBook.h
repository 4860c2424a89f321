#pragma once

#include "Service/EntryNode.h"
#include "Service/Intent.h"

#include <functional>
#include <string>

namespace Cranberrymount {

/** The answer to an operator; @c body is JSON. */
struct JsonResponse
{
    int status = 200;
    Json body;
};

/**
 * Plans: what an intent would change, kept in the store until an operator confirms or rejects it.
 *
 * The configuration itself holds the latest decisions, so that one compare-and-swap both decides a
 * plan and puts it in force: of two operators one wins, and deciding twice is the same as once.
 * Runs on the control thread.
 */
class PlanBook
{
public:
    using Done = std::function<void(JsonResponse)>;

    explicit PlanBook(EntryNode &node);

    void create(const Json &intent, const std::string &trace, Done done);
    void show(const PlanId &id, Done done);
    void decide(const PlanId &id, PlanDecision decision, Done done);

private:
    void store(const PlanId &id, Json plan, Done done);
    void applyDecision(const PlanId &id, PlanDecision decision, const Json &plan, const Done &done);

    EntryNode &m_node;
};

} // namespace Cranberrymount
