#include "Service/ServiceMain.h"

#include "Service/Settings.h"
#include "Transport/TransportError.h"

#include <tclap/CmdLine.h>

#include <iostream>

namespace Cranberrymount {

int runService(int argc, char **argv, const std::string &description,
               const std::function<int(const std::string &path)> &run)
{
    try {
        TCLAP::CmdLine command(description, ' ', "0.1");
        const TCLAP::UnlabeledValueArg<std::string> settings("settings", "TOML settings file", true,
                                                             "", "FILE", command);
        command.parse(argc, argv);
        return run(settings.getValue());
    } catch (const TCLAP::ArgException &error) {
        std::cerr << error.error() << " " << error.argId() << "\n";
        return ExitBadUsage;
    } catch (const SettingsError &error) {
        std::cerr << error.what() << "\n";
        return ExitBadSettings;
    } catch (const TransportError &error) {
        std::cerr << error.what() << "\n";
        return ExitCannotListen;
    }
}

} // namespace Cranberrymount
