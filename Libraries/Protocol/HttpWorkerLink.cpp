#include "Protocol/HttpWorkerLink.h"

#include "Protocol/Json.h"
#include "Protocol/ProtocolError.h"

#include <asio/post.hpp>
#include <glog/logging.h>

namespace Cranberrymount {

namespace {

/** HTTP status with which a worker refuses a lease or a batch of commands. */
constexpr int RefusedStatus = 409;

Json encodeAttempt(const AttemptRef &attempt)
{
    return {attempt.task.job.value(), attempt.task.index, attempt.attempt.value()};
}

Json encodeAttempts(const std::vector<AttemptRef> &attempts)
{
    Json array = Json::array();
    for (const AttemptRef &attempt : attempts)
        array.push_back(encodeAttempt(attempt));
    return array;
}

AttemptOutcome outcomeFromName(const std::string &name)
{
    if (name == "done")
        return AttemptOutcome::Done;
    if (name == "failed")
        return AttemptOutcome::Failed;
    if (name == "stopped")
        return AttemptOutcome::Stopped;
    throw ProtocolError("unknown outcome '" + name + "'");
}

WorkerReport decodeReport(const Json &json)
{
    WorkerReport report;
    report.epoch = Epoch(json.at("epoch").get<uint64_t>());
    report.complete = json.contains("running");
    report.runningCount = json.at("running_count").get<std::size_t>();
    for (const Json &item : json.value("running", Json::array())) {
        report.running.push_back(
            {{JobId(item.at(0).get<std::string>()), item.at(1).get<uint32_t>()},
             AttemptId(item.at(2).get<uint64_t>()),
             TeamId(item.at(3).get<std::string>()),
             item.at(4).get<Resources>()});
    }
    for (const Json &item : json.value("ended", Json::array())) {
        report.ended.push_back({{JobId(item.at(0).get<std::string>()), item.at(1).get<uint32_t>()},
                                AttemptId(item.at(2).get<uint64_t>()),
                                outcomeFromName(item.at(3).get<std::string>())});
    }
    return report;
}

LeaseResult decodeLease(const HttpResult &result)
{
    LeaseResult leaseResult;
    if (result.outcome != HttpResult::Answered)
        return leaseResult;
    if (result.status == RefusedStatus) {
        leaseResult.outcome = LeaseResult::Held;
        return leaseResult;
    }
    if (!result.isOk())
        return leaseResult;
    leaseResult.report = decodeReport(parseJson(result.body));
    leaseResult.outcome = LeaseResult::Granted;
    return leaseResult;
}

StartResult decodeStart(const HttpResult &result)
{
    if (result.outcome == HttpResult::NotSent)
        return {StartResult::NotSent};
    if (result.outcome == HttpResult::Unknown)
        return {StartResult::Unknown};
    if (result.isOk())
        return {StartResult::Started};
    return {result.status == RefusedStatus ? StartResult::Refused : StartResult::Unknown};
}

} // namespace

HttpWorkerLink::HttpWorkerLink(HttpClient &client, asio::io_context &control, Duration timeout)
    : m_client(client)
    , m_control(control)
    , m_timeout(timeout)
{
}

void HttpWorkerLink::send(HttpCall call, std::function<void(HttpResult)> done)
{
    ++m_calls;
    m_bodyBytes += call.body.size();
    m_client.send(std::move(call), [this, done = std::move(done)](HttpResult result) {
        m_bodyBytes += result.body.size();
        asio::post(m_control, [done, result = std::move(result)] { done(result); });
    });
}

void HttpWorkerLink::lease(const WorkerInfo &worker, LeaseRequest request,
                           std::function<void(LeaseResult)> done)
{
    Json body = {{"holder", request.holder.value()},
                 {"epoch", request.epoch.value()},
                 {"ttl_ms", request.ttl.count()},
                 {"wait_ms", request.wait.count()}};
    if (request.complete)
        body["complete"] = true;
    if (!request.acknowledged.empty())
        body["acknowledged"] = encodeAttempts(request.acknowledged);
    send({"POST", worker.url + "/lease", body.dump(), {}, m_timeout + request.wait},
         [done = std::move(done)](const HttpResult &result) {
             LeaseResult leaseResult;
             try {
                 leaseResult = decodeLease(result);
             } catch (const std::exception &error) {
                 LOG(ERROR) << "event=worker_answer_malformed error=\"" << error.what() << "\"";
             }
             done(leaseResult);
         });
}

void HttpWorkerLink::probe(const WorkerInfo &worker, std::function<void(bool)> done)
{
    HttpCall call{"GET", worker.url + "/ping", {}, {}, m_timeout};
    call.atMostOnce = true;
    send(std::move(call),
         [done = std::move(done)](const HttpResult &result) { done(result.isOk()); });
}

void HttpWorkerLink::start(const WorkerInfo &worker, Epoch epoch,
                           std::vector<StartCommand> commands,
                           std::function<void(StartResult)> done)
{
    Json tasks = Json::array();
    for (const StartCommand &command : commands) {
        tasks.push_back({{"job", command.task.job.value()},
                         {"index", command.task.index},
                         {"attempt", command.attempt.value()},
                         {"team", command.team.value()},
                         {"resources", command.resources},
                         {"payload", command.payload}});
    }
    const Json body = {{"epoch", epoch.value()}, {"tasks", tasks}};
    HttpCall call{"POST", worker.url + "/start", body.dump(), {}, m_timeout};
    // The refusal of a copy would not mean that the first one was refused.
    call.sendsBodyOnce = true;
    send(std::move(call),
         [done = std::move(done)](const HttpResult &result) { done(decodeStart(result)); });
}

void HttpWorkerLink::stop(const WorkerInfo &worker, Epoch epoch, std::vector<AttemptRef> attempts,
                          bool checkpoint)
{
    const Json body = {{"epoch", epoch.value()},
                       {"attempts", encodeAttempts(attempts)},
                       {"checkpoint", checkpoint}};
    send({"POST", worker.url + "/stop", body.dump(), {}, m_timeout}, [](const HttpResult &) {});
}

void HttpWorkerLink::release(const WorkerInfo &worker, EntryId holder, Epoch epoch,
                             std::function<void(bool)> done)
{
    const Json body = {{"holder", holder.value()}, {"epoch", epoch.value()}};
    send({"POST", worker.url + "/release", body.dump(), {}, m_timeout},
         [done = std::move(done)](const HttpResult &result) { done(result.isOk()); });
}

} // namespace Cranberrymount
