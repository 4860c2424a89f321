#include "Commands.h"

#include "Service/Intent.h"
#include "Service/KeyHash.h"
#include "Service/Settings.h"

#include <fmt/format.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace Cranberrymount {

namespace {

constexpr Duration CallTimeout{10'000};

std::string readFile(const std::string &path)
{
    const std::ifstream file(path);
    if (!file)
        throw SettingsError(path + ": cannot be opened");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string formatCores(const Json &resources)
{
    return fmt::format("{:.1f} cores", resources.value("cpu_millis", 0.0) / 1000.0);
}

/** @return true if @p id has the form of a trace id, which responses have in X-Request-Id. */
bool isRequestId(const std::string &id)
{
    constexpr std::size_t Length = 32;
    return id.size() == Length && id.find_first_not_of("0123456789abcdef") == std::string::npos;
}

} // namespace

Commands::Commands(Options options)
    : m_options(std::move(options))
{
}

std::string Commands::usage()
{
    return "  status                          all entries and shards\n"
           "  job submit FILE                 submit the job that a JSON file declares\n"
           "  job list | show ID | cancel ID\n"
           "  explain JOB|REQUEST             why a job waits or moved, how a request was handled\n"
           "  request QUEUE BODY              send a lookup request\n"
           "  intent drain-zone ZONE | return-zone ZONE\n"
           "  intent grant-share TEAM --share N --cpu-millis N --memory-mb N --accelerators N\n"
           "  intent issue-key TEAM KEY | withdraw-key TEAM KEY\n"
           "  intent finish-by JOB UNIX-SECONDS\n"
           "  intent apply FILE               change teams and queues as a TOML file declares\n"
           "  plan ID | confirm ID | reject ID\n"
           "  check FILE                      check a settings file\n"
           "  check-declaration FILE          check a declaration\n"
           "exit codes: 0 done, 1 refused and not run, 2 bad usage, 3 bad file,\n"
           "            4 entry not reached, 5 outcome unknown\n";
}

int Commands::reportBadUsage(const std::string &what)
{
    std::cerr << what << "\ncommands:\n" << usage();
    return BadUsage;
}

HttpResult Commands::send(const std::string &method, const std::string &path,
                          const std::string &body)
{
    HttpCall call{method, m_options.entryUrl + path, body, {}, CallTimeout};
    if (!m_options.teamKey.empty())
        call.headers.push_back("X-Team-Key: " + m_options.teamKey);
    if (!m_options.operatorKey.empty())
        call.headers.push_back("X-Operator-Key: " + m_options.operatorKey);
    if (!m_options.idempotencyKey.empty())
        call.headers.push_back("Idempotency-Key: " + m_options.idempotencyKey);
    if (m_options.isIdempotent)
        call.headers.emplace_back("X-Idempotent: true");
    call.atMostOnce = method == "POST";
    return m_client.sendAndWait(std::move(call));
}

int Commands::reportOutcome(const HttpResult &result)
{
    if (result.isOk())
        return Success;
    if (result.outcome == HttpResult::NotSent) {
        std::cerr << "entry " << m_options.entryUrl << " cannot be reached: " << result.error
                  << "\nnext: name another entry with --entry\n";
        return Unreachable;
    }
    if (result.outcome == HttpResult::Unknown) {
        std::cerr << "entry " << m_options.entryUrl << " did not respond: " << result.error
                  << "\nnext: show the job or plan; the call may have taken effect\n";
        return OutcomeUnknown;
    }
    const Json body = Json::parse(result.body, nullptr, false);
    if (m_options.isJson || !body.is_object()) {
        std::cerr << result.body << "\n";
    } else {
        std::cerr << body.value("error", "refused") << "\n";
        for (const Json &fault : body.value("faults", Json::array()))
            std::cerr << "  " << fault.get<std::string>() << "\n";
        for (const Json &change : body.value("changed", Json::array()))
            std::cerr << "  " << change.get<std::string>() << "\n";
        if (body.contains("next"))
            std::cerr << "next: " << body.at("next").get<std::string>() << "\n";
    }
    const bool isUnknown = body.is_object() && body.value("outcome", "") == "unknown";
    return isUnknown ? OutcomeUnknown : Refused;
}

int Commands::call(const std::string &method, const std::string &path, const std::string &body)
{
    const HttpResult result = send(method, path, body);
    if (!result.isOk())
        return reportOutcome(result);
    const Json response = Json::parse(result.body, nullptr, false);
    if (m_options.isJson || response.is_discarded())
        std::cout << result.body << "\n";
    else
        std::cout << response.dump(2) << "\n";
    return Success;
}

int Commands::run(const std::vector<std::string> &arguments)
{
    if (arguments.empty())
        return reportBadUsage("no command");
    const std::string &command = arguments.front();
    const bool hasOneArgument = arguments.size() == 2;
    if (command == "status" && arguments.size() == 1)
        return status();
    if (command == "job")
        return job(arguments);
    if (command == "intent")
        return intent(arguments);
    if (command == "request" && arguments.size() == 3)
        return request(arguments);
    if (command == "plan" && hasOneArgument)
        return call("GET", "/plans/" + arguments[1]);
    if ((command == "confirm" || command == "reject") && hasOneArgument)
        return call("POST", "/plans/" + arguments[1] + "/" + command);
    if (command == "explain" && hasOneArgument)
        return explain(arguments[1]);
    if ((command == "check" || command == "check-declaration") && hasOneArgument)
        return check(arguments);
    return reportBadUsage("unknown command or wrong number of arguments: " + command);
}

int Commands::job(const std::vector<std::string> &arguments)
{
    const std::string action = arguments.size() > 1 ? arguments[1] : "";
    if (action == "list" && arguments.size() == 2)
        return call("GET", "/jobs");
    if (arguments.size() != 3)
        return reportBadUsage("job takes submit FILE, list, show ID or cancel ID");
    if (action == "submit")
        return call("POST", "/jobs", readFile(arguments[2]));
    if (action == "show")
        return call("GET", "/jobs/" + arguments[2]);
    if (action == "cancel")
        return call("DELETE", "/jobs/" + arguments[2]);
    return reportBadUsage("job takes submit FILE, list, show ID or cancel ID");
}

int Commands::intent(const std::vector<std::string> &arguments)
{
    if (arguments.size() < 3)
        return reportBadUsage("intent takes a type and its arguments");
    const std::string &type = arguments[1];
    Json intent = {{"type", type}};
    if (type == "drain-zone" || type == "return-zone") {
        intent["zone"] = arguments[2];
    } else if (type == "grant-share") {
        intent["team"] = arguments[2];
        intent["share"] = m_options.share;
        intent["limit"] = {{"cpu_millis", m_options.cpuMillis},
                           {"memory_mb", m_options.memoryMb},
                           {"accelerators", m_options.accelerators}};
    } else if ((type == "issue-key" || type == "withdraw-key") && arguments.size() == 4) {
        intent["team"] = arguments[2];
        intent["key_sha256"] = hashKey(arguments[3]);
    } else if (type == "finish-by" && arguments.size() == 4) {
        intent["job"] = arguments[2];
        intent["deadline"] = std::stoll(arguments[3]);
    } else if (type == "apply") {
        intent["configuration"] = readDeclaration(readFile(arguments[2]), arguments[2]);
    } else {
        return reportBadUsage("unknown intent or wrong number of arguments: " + type);
    }
    return call("POST", "/plans", intent.dump());
}

int Commands::request(const std::vector<std::string> &arguments)
{
    const HttpResult result = send("POST", "/lookup/" + arguments[1], arguments[2]);
    if (!result.isOk())
        return reportOutcome(result);
    std::cout << result.body << "\n";
    return Success;
}

int Commands::check(const std::vector<std::string> &arguments)
{
    if (arguments[0] == "check")
        readSettings(arguments[1]);
    else
        readDeclaration(readFile(arguments[1]), arguments[1]);
    std::cout << arguments[1] << ": valid\n";
    return Success;
}

int Commands::explainRequest(const std::string &id)
{
    const HttpResult result = send("GET", "/requests/" + id, {});
    if (!result.isOk() || m_options.isJson) {
        if (result.isOk())
            std::cout << result.body << "\n";
        return reportOutcome(result);
    }
    std::cout << "request " << id << "\n";
    for (const Json &hop : Json::parse(result.body).at("hops")) {
        std::cout << "  " << hop.at("service").get<std::string>() << " "
                  << hop.at("hop").get<std::string>() << ", " << hop.at("took_us") << " us";
        for (const auto &[key, value] : hop.at("facts").items())
            std::cout << "; " << key << ": " << value.get<std::string>();
        std::cout << "\n";
    }
    return Success;
}

int Commands::explain(const std::string &id)
{
    if (isRequestId(id))
        return explainRequest(id);
    const HttpResult result = send("GET", "/jobs/" + id, {});
    if (!result.isOk() || m_options.isJson) {
        if (result.isOk())
            std::cout << result.body << "\n";
        return reportOutcome(result);
    }
    const Json job = Json::parse(result.body);
    const Json &spec = job.at("spec");
    std::cout << "job " << id << ": " << spec.at("kind").get<std::string>() << " of "
              << spec.at("tasks") << " tasks for team " << spec.at("team").get<std::string>()
              << "\n  tasks: " << job.at("counts").dump() << "\n";
    for (const auto &[shard, shardState] : job.at("shards").items()) {
        const auto reason = shardState.at("wait_reason").get<std::string>();
        std::cout << "  shard " << shard << (reason.empty() ? "" : " waits: " + reason) << "\n";
        for (const Json &event : shardState.at("history"))
            std::cout << "    " << event.get<std::string>() << "\n";
    }
    return Success;
}

int Commands::status()
{
    const HttpResult result = send("GET", "/status", {});
    if (!result.isOk() || m_options.isJson) {
        if (result.isOk())
            std::cout << result.body << "\n";
        return reportOutcome(result);
    }
    const Json status = Json::parse(result.body);
    std::cout << "configuration " << status.at("configuration_revision") << ", seen "
              << status.at("configuration_age_ms")
              << " ms ago; zones out of service: " << status.at("zones_out").dump()
              << "; unresponsive entries: " << status.at("silent_entries").dump() << "\n";
    for (const Json &entry : status.at("entries")) {
        for (const Json &shard : entry.at("shards")) {
            std::cout << fmt::format(
                "{:14} owner {:10} {:10} {:3} workers  {:>12} free of "
                "{:>12}  {:4} running {:4} waiting\n",
                shard.at("shard").get<std::string>(), entry.at("entry").get<std::string>(),
                shard.at("active").get<bool>() ? "active" : "taking-over",
                shard.at("workers").get<int>(), formatCores(shard.at("free")),
                formatCores(shard.at("capacity")), shard.at("running").get<int>(),
                shard.at("waiting").get<int>());
        }
    }
    return Success;
}

} // namespace Cranberrymount
