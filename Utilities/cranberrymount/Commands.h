#pragma once

#include "Protocol/Json.h"
#include "Transport/HttpClient.h"

#include <string>
#include <vector>

namespace Cranberrymount {

/** Exit codes of the program, as docs/Operations.md lists them. */
enum ExitCode {
    Success = 0,
    /** The entry refused the call; nothing was run or changed. */
    Refused = 1,
    BadUsage = 2,
    BadSettings = 3,
    Unreachable = 4,
    /** The call may have taken effect. */
    OutcomeUnknown = 5,
};

/** Command line options, without the command and its arguments. */
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

/** Runs one command against an entry instance. */
class Commands
{
public:
    explicit Commands(Options options);

    /**
     * Prints the response, or what is wrong and what to do next.
     * @param arguments the command, followed by its arguments
     * @return the exit code
     */
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
    /** Makes a call and prints its response. @return the exit code */
    int call(const std::string &method, const std::string &path, const std::string &body = {});
    HttpResult send(const std::string &method, const std::string &path, const std::string &body);
    /** Prints the error in @p result unless the call succeeded. @return the exit code */
    int reportOutcome(const HttpResult &result);
    /** Prints @p what and the usage text. @return the exit code */
    int reportBadUsage(const std::string &what);

    Options m_options;
    HttpClient m_client;
};

} // namespace Cranberrymount
