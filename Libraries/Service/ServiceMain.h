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
 * @param run runs the service with the settings file @c path and returns an exit code
 * @return the exit code of @p run. An invalid command line, a SettingsError or a TransportError
 *         is printed to standard error and gives the matching code.
 */
int runService(int argc, char **argv, const std::string &description,
               const std::function<int(const std::string &path)> &run);

} // namespace Cranberrymount
