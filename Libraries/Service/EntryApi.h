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
 * its routes. Every refusal says whether the request was not run or may have been.
 */
class EntryApi
{
public:
    explicit EntryApi(EntryNode &node);

    void handle(HttpIncoming request, HttpRespond respond);

private:
    void lookup(HttpIncoming request, HttpRespond respond, const std::string &queueName);
    void routeWithIdempotencyKey(HttpIncoming request, const HttpRespond &respond, LookupCall call,
                                 const std::string &scope, const Span &span);
    void jobs(const HttpIncoming &request, const HttpRespond &respond, const std::string &rest);
    void plans(const HttpIncoming &request, const HttpRespond &respond, const std::string &rest);
    void status(const HttpRespond &respond);
    void explainRequest(const HttpRespond &respond, const std::string &id);
    HttpAnswer endLookupSpan(HttpAnswer response, Span span);
    void injectFaults(const HttpIncoming &request, const HttpRespond &respond);

    bool isOperator(const HttpIncoming &request) const;
    /** Runs @p action on the control thread and turns its errors into answers. */
    void onControl(const HttpRespond &respond, std::function<void()> action);

    EntryNode &m_node;
    PlanBook m_plans;
    JobBook m_jobs;
};

} // namespace Cranberrymount
