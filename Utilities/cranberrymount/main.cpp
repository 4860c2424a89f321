#include "Commands.h"

#include "Protocol/ProtocolError.h"
#include "Service/Settings.h"

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <iostream>

namespace {

using namespace Cranberrymount;

std::string fromEnvironment(const char *name, const char *fallback)
{
    const char *value = std::getenv(name);
    return value ? value : fallback;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine commandLine(
            "cranberrymount: client for operators and submitters. Commands:\n" + Commands::usage(),
            ' ', "0.1");
        TCLAP::ValueArg<std::string> entry(
            "e", "entry", "URL of an entry instance; CRANBERRYMOUNT_ENTRY if not given", false,
            fromEnvironment("CRANBERRYMOUNT_ENTRY", "http://127.0.0.1:7000"), "URL", commandLine);
        TCLAP::ValueArg<std::string> key(
            "k", "key", "the team's key; CRANBERRYMOUNT_KEY if not given", false,
            fromEnvironment("CRANBERRYMOUNT_KEY", ""), "KEY", commandLine);
        TCLAP::ValueArg<std::string> operatorKey(
            "", "operator-key", "the operators' key; CRANBERRYMOUNT_OPERATOR_KEY if not given",
            false, fromEnvironment("CRANBERRYMOUNT_OPERATOR_KEY", ""), "KEY", commandLine);
        std::vector<std::string> outputFormats{"text", "json"};
        TCLAP::ValuesConstraint<std::string> allowedFormats(outputFormats);
        TCLAP::ValueArg<std::string> output("o", "output", "output format", false, "text",
                                            &allowedFormats, commandLine);
        TCLAP::ValueArg<double> share("", "share", "the team's share, for grant-share", false, 1.0,
                                      "N", commandLine);
        TCLAP::ValueArg<int64_t> cpu("", "cpu-millis", "CPU limit in millicores, for grant-share",
                                     false, 0, "N", commandLine);
        TCLAP::ValueArg<int64_t> memory("", "memory-mb", "memory limit in MB, for grant-share",
                                        false, 0, "N", commandLine);
        TCLAP::ValueArg<int64_t> accelerators("", "accelerators",
                                              "limit on accelerators, for grant-share", false, 0,
                                              "N", commandLine);
        TCLAP::SwitchArg idempotent("", "idempotent", "the request may be repeated", commandLine);
        TCLAP::ValueArg<std::string> idempotencyKey("", "idempotency-key",
                                                    "the request runs once for this key", false, "",
                                                    "KEY", commandLine);
        TCLAP::UnlabeledMultiArg<std::string> arguments("command", "command and its arguments",
                                                        true, "WORDS", commandLine);
        commandLine.parse(argc, argv);

        Options options;
        options.entryUrl = entry.getValue();
        options.teamKey = key.getValue();
        options.operatorKey = operatorKey.getValue();
        options.isJson = output.getValue() == "json";
        options.share = share.getValue();
        options.cpuMillis = cpu.getValue();
        options.memoryMb = memory.getValue();
        options.accelerators = accelerators.getValue();
        options.isIdempotent = idempotent.getValue();
        options.idempotencyKey = idempotencyKey.getValue();
        return Commands(std::move(options)).run(arguments.getValue());
    } catch (const TCLAP::ArgException &error) {
        std::cerr << error.error() << " " << error.argId() << "\n";
        return BadUsage;
    } catch (const SettingsError &error) {
        std::cerr << error.what() << "\n";
        return BadSettings;
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return BadUsage;
    }
}
