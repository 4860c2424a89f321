#pragma once

#include <functional>
#include <string>

namespace Cranberrymount {

/** Exit codes of the services. */
enum ExitCode {
    ExitSuccess = 0,
    ExitBadUsage = 2,
    ExitBadSettings = 3,
    ExitCannotListen = 4,
};

/**
 * Parses a service's command line, which names its settings file, and runs the service.
 * @param run gets the file's path and returns an exit code
 * @return the exit code; for what @p run throws of settings and sockets, after a line on standard
 *         error
 */
int runService(int argc, char **argv, const std::string &description,
               const std::function<int(const std::string &path)> &run);

} // namespace Cranberrymount
