#include "Service/TomlChecker.h"

#include "Protocol/PeerMessages.h"
#include "Protocol/ProtocolError.h"

#include <asio/ip/address.hpp>

#include <algorithm>

namespace Cranberrymount {

namespace {

constexpr std::size_t HexSha256Length = 64;

std::string join(const std::set<std::string> &names)
{
    std::string joined;
    for (const std::string &name : names)
        joined += (joined.empty() ? "" : ", ") + name;
    return joined;
}

} // namespace

TomlChecker::TomlChecker(std::string file, std::vector<std::string> &faults)
    : m_file(std::move(file))
    , m_faults(faults)
{
}

toml::table TomlChecker::parse(const std::string &text)
{
    try {
        return toml::parse(text, m_file);
    } catch (const toml::parse_error &error) {
        m_faults.push_back(m_file + ":" + std::to_string(error.source().begin.line)
                           + ": not valid TOML: " + std::string(error.description()));
        return {};
    }
}

void TomlChecker::fault(const toml::node *node, const std::string &message)
{
    const auto line = node ? node->source().begin.line : 1;
    m_faults.push_back(m_file + ":" + std::to_string(std::max<unsigned>(line, 1)) + ": " + message);
}

const toml::node *TomlChecker::find(const toml::table &table, const std::string &key)
{
    m_knownKeys[&table].insert(key);
    return table.get(key);
}

void TomlChecker::reportMissing(const toml::table &table, const std::string &key,
                                const std::string &allowed)
{
    fault(&table, "'" + key + "' is missing; it must be " + allowed);
}

std::string TomlChecker::requiredText(const toml::table &table, const std::string &key)
{
    if (!find(table, key)) {
        reportMissing(table, key, "a non-empty string");
        return {};
    }
    std::string value = text(table, key, {});
    if (value.empty() && table.get(key)->is_string())
        fault(table.get(key), "'" + key + "' must not be empty");
    return value;
}

std::string TomlChecker::text(const toml::table &table, const std::string &key,
                              std::string fallback)
{
    const toml::node *node = find(table, key);
    if (!node)
        return fallback;
    if (const auto value = node->value_exact<std::string>())
        return *value;
    fault(node, "'" + key + "' must be a string");
    return fallback;
}

int64_t TomlChecker::number(const toml::table &table, const std::string &key, int64_t fallback,
                            int64_t low, int64_t high)
{
    const toml::node *node = find(table, key);
    if (!node)
        return fallback;
    const auto value = node->value_exact<int64_t>();
    if (value && *value >= low && *value <= high)
        return *value;
    fault(node,
          "'" + key + "' must be an integer from " + std::to_string(low) + " to "
              + std::to_string(high));
    return fallback;
}

double TomlChecker::real(const toml::table &table, const std::string &key, double fallback,
                         double low, double high)
{
    const toml::node *node = find(table, key);
    if (!node)
        return fallback;
    const auto value = node->is_number() ? node->value<double>() : std::nullopt;
    if (value && *value >= low && *value <= high)
        return *value;
    fault(node,
          "'" + key + "' must be a number from " + std::to_string(low) + " to "
              + std::to_string(high));
    return fallback;
}

bool TomlChecker::flag(const toml::table &table, const std::string &key, bool fallback)
{
    const toml::node *node = find(table, key);
    if (!node)
        return fallback;
    if (const auto value = node->value_exact<bool>())
        return *value;
    fault(node, "'" + key + "' must be true or false");
    return fallback;
}

std::vector<std::string> TomlChecker::texts(const toml::table &table, const std::string &key)
{
    std::vector<std::string> values;
    const toml::node *node = find(table, key);
    if (!node)
        return values;
    const toml::array *array = node->as_array();
    if (!array) {
        fault(node, "'" + key + "' must be a list of strings");
        return values;
    }
    for (const toml::node &item : *array) {
        if (const auto value = item.value_exact<std::string>())
            values.push_back(*value);
        else
            fault(&item, "'" + key + "' must be a list of strings");
    }
    return values;
}

Endpoint TomlChecker::parseEndpointNode(const toml::node &node, const std::string &key)
{
    const auto value = node.value_exact<std::string>();
    try {
        if (value) {
            Endpoint endpoint = parseEndpoint(*value);
            asio::ip::make_address(endpoint.host);
            return endpoint;
        }
    } catch (const std::exception &) {
        // The fault below names the allowed form.
    }
    fault(&node,
          "'" + key + "' must be IP:PORT with a numeric IP address, such as \"10.0.0.1:7000\"");
    return {};
}

Endpoint TomlChecker::requiredEndpoint(const toml::table &table, const std::string &key)
{
    const toml::node *node = find(table, key);
    if (node)
        return parseEndpointNode(*node, key);
    reportMissing(table, key, "IP:PORT with a numeric IP address");
    return {};
}

std::vector<Endpoint> TomlChecker::endpoints(const toml::table &table, const std::string &key)
{
    std::vector<Endpoint> values;
    const toml::node *node = find(table, key);
    if (!node)
        return values;
    const toml::array *array = node->as_array();
    if (!array) {
        fault(node, "'" + key + "' must be a list of IP:PORT");
        return values;
    }
    for (const toml::node &item : *array)
        values.push_back(parseEndpointNode(item, key));
    return values;
}

std::string TomlChecker::requiredUrl(const toml::table &table, const std::string &key)
{
    std::string value = requiredText(table, key);
    if (!value.empty() && !value.starts_with("http://") && !value.starts_with("https://"))
        fault(table.get(key), "'" + key + "' must be a URL that begins with http:// or https://");
    return value;
}

std::string TomlChecker::requiredHash(const toml::table &table, const std::string &key)
{
    std::string value = requiredText(table, key);
    const bool isHex = std::all_of(value.begin(), value.end(), [](unsigned char character) {
        return std::isdigit(character) || (character >= 'a' && character <= 'f');
    });
    if (!value.empty() && (value.size() != HexSha256Length || !isHex))
        fault(table.get(key), "'" + key + "' must be a SHA-256 hash in 64 lower-case hex digits");
    return value;
}

Resources TomlChecker::resources(const toml::table &table, const std::string &key)
{
    constexpr int64_t MaxAmount = 1'000'000'000;
    const toml::table &section = this->section(table, key, true);
    Resources resources{CpuMillis(number(section, "cpu_millis", 0, 0, MaxAmount)),
                        MemoryMb(number(section, "memory_mb", 0, 0, MaxAmount)),
                        AcceleratorCount(number(section, "accelerators", 0, 0, MaxAmount))};
    rejectUnknown(section);
    return resources;
}

const toml::table &TomlChecker::section(const toml::table &table, const std::string &key,
                                        bool required)
{
    const toml::node *node = find(table, key);
    if (node && node->is_table())
        return *node->as_table();
    if (node)
        fault(node, "'" + key + "' must be a table");
    else if (required)
        reportMissing(table, key, "a table [" + key + "]");
    return m_emptyTable;
}

void TomlChecker::rejectUnknown(const toml::table &table)
{
    const std::set<std::string> &known = m_knownKeys[&table];
    for (const auto &[key, node] : table) {
        const std::string name(key.str());
        if (!known.contains(name))
            fault(&node, "unknown key '" + name + "'; allowed here: " + join(known));
    }
}

} // namespace Cranberrymount
