#pragma once

#include "Service/EntryNode.h"
#include "Service/JobBook.h"
#include "Service/PlanBook.h"
#include "Transport/HttpServer.h"

#include <functional>
#include <string>

namespace Cranberrymount {

/**
 * The HTTP interface of one entry instance to callers, submitters and operators; docs/Api.md lists
 * its routes. Every refusal states whether the request was not run or may have run.
 */
class EntryApi
{
public:
    explicit EntryApi(EntryNode &node);

    void handle(HttpIncoming request, HttpRespond respond);

private:
    void lookup(HttpIncoming request, HttpRespond respond, const std::string &queueName);
    /** Routes a lookup request that must not run twice, once its idempotency key @p scope is
     * claimed. */
    void routeWithIdempotencyKey(HttpIncoming request, const HttpRespond &respond, LookupCall call,
                                 const std::string &scope, const Span &span);
    void jobs(const HttpIncoming &request, const HttpRespond &respond, const std::string &rest);
    void plans(const HttpIncoming &request, const HttpRespond &respond, const std::string &rest);
    void status(const HttpRespond &respond);
    void explainRequest(const HttpRespond &respond, const std::string &id);
    /** Ends the span of a lookup request and adds its trace id to the response, so that the caller
     * can ask for an explanation of the request. */
    HttpAnswer endLookupSpan(HttpAnswer response, Span span);
    void injectFaults(const HttpIncoming &request, const HttpRespond &respond);

    bool isOperator(const HttpIncoming &request) const;
    /** Runs @p action on the control thread; a protocol or JSON error becomes a response. */
    void onControl(const HttpRespond &respond, std::function<void()> action);

    EntryNode &m_node;
    PlanBook m_plans;
    JobBook m_jobs;
};

} // namespace Cranberrymount
