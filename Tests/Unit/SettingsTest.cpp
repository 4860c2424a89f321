#include "Service/Settings.h"
#include "Service/Intent.h"

#include <catch2/catch.hpp>

using namespace Cranberrymount;

namespace {

const std::string ValidSettings = R"([entry]
id = "a-e0"
zone = "a"
http = "127.0.0.1:7000"
peer = "127.0.0.1:7001"
operator_key_sha256 = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
[platform]
store = "http://127.0.0.1:2379"
instances = "http://127.0.0.1:2379/instances"
)";

std::string faultsOf(const std::string &text)
{
    try {
        parseSettings(text, "entry.toml");
    } catch (const SettingsError &error) {
        return error.what();
    }
    return {};
}

} // namespace

TEST_CASE("Valid settings are accepted", "[settings]")
{
    CHECK(parseSettings(ValidSettings, "entry.toml").http.port == 7000);
}

TEST_CASE("All faults of a settings file are reported together with their line numbers",
          "[settings]")
{
    const std::string faults = faultsOf(R"([entry]
id = 7
zone = "a"
http = "localhost:7000"
pear = "127.0.0.1:7001"
operator_key_sha256 = "short"
[platform]
store = "ftp://x"
instances = "http://127.0.0.1/instances"
[timing]
evidence_ms = 60000
)");
    CHECK(faults.find("entry.toml:2: 'id' must be a string") != std::string::npos);
    CHECK(faults.find("entry.toml:4: 'http' must be IP:PORT") != std::string::npos);
    CHECK(faults.find("entry.toml:5: unknown key 'pear'; allowed here:") != std::string::npos);
    CHECK(faults.find("entry.toml:1: 'peer' is missing") != std::string::npos);
    CHECK(faults.find("entry.toml:6: 'operator_key_sha256'") != std::string::npos);
    CHECK(faults.find("entry.toml:8: 'store' must be a URL") != std::string::npos);
    CHECK(faults.find("entry.toml:11: 'evidence_ms' must be an integer from 500 to 6000")
          != std::string::npos);
}

TEST_CASE("Declaration with a queue for an undeclared team is rejected", "[settings]")
{
    const std::string text = R"([teams.red]
limit = { cpu_millis = 1000, memory_mb = 1000 }
[queues.q]
teams = ["blue"]
)";
    CHECK_THROWS_WITH(readDeclaration(text, "d.toml"),
                      Catch::Contains("d.toml:4: queue q names team 'blue'"));
}
