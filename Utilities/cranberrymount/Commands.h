#pragma once

#include "Protocol/Json.h"
#include "Transport/HttpClient.h"

#include <string>
#include <vector>

namespace Cranberrymount {

/** How the program ends; docs/Operations.md lists these. */
enum ExitCode {
    Success = 0,
    /** The entry refused; nothing was run or changed. */
    Refused = 1,
    BadUsage = 2,
    BadSettings = 3,
    Unreachable = 4,
    /** The entry may have run or changed it. */
    OutcomeUnknown = 5,
};

/** What the command line gave beside the words of the command. */
struct Options
{
    std::string entryUrl;
    std::string teamKey;
    std::string operatorKey;
    bool isJson = false;
    double share = 1.0;
    int64_t cpuMillis = 0;
    int64_t memoryMb = 0;
    int64_t accelerators = 0;
    bool isIdempotent = false;
    std::string idempotencyKey;
};

/** Carries out one command against an entry instance. */
class Commands
{
public:
    explicit Commands(Options options);

    /** @return the exit code; prints the answer, or what is wrong and what to do next. */
    int run(const std::vector<std::string> &arguments);

    /** @return the usage text, one command a line. */
    static std::string usage();

private:
    int job(const std::vector<std::string> &arguments);
    int intent(const std::vector<std::string> &arguments);
    int request(const std::vector<std::string> &arguments);
    int check(const std::vector<std::string> &arguments);
    int explain(const std::string &id);
    int explainRequest(const std::string &id);
    int status();
    int call(const std::string &method, const std::string &path, const std::string &body = {});
    HttpResult send(const std::string &method, const std::string &path, const std::string &body);
    /** Prints @p result unless it succeeded. @return the exit code. */
    int reportOutcome(const HttpResult &result);
    int reportBadUsage(const std::string &what);

    Options m_options;
    HttpClient m_client;
};

} // namespace Cranberrymount
