#pragma once

#include "State/Resources.h"
#include "State/Worker.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>

namespace Cranberrymount {

/** Reads values from TOML tables and collects every fault with its file and line. */
class TomlChecker
{
public:
    /** @param faults receives the faults, one message each; must outlive the checker. */
    TomlChecker(std::string file, std::vector<std::string> &faults);

    /** Parses @p text; a syntax error is recorded as a fault and gives an empty table. */
    toml::table parse(const std::string &text);

    // Each reader records a fault that names the allowed values if the value has another type, is
    // out of range, or is required and missing.
    std::string requiredText(const toml::table &table, const std::string &key);
    std::string text(const toml::table &table, const std::string &key, std::string fallback);
    int64_t number(const toml::table &table, const std::string &key, int64_t fallback, int64_t low,
                   int64_t high);
    double real(const toml::table &table, const std::string &key, double fallback, double low,
                double high);
    bool flag(const toml::table &table, const std::string &key, bool fallback);
    std::vector<std::string> texts(const toml::table &table, const std::string &key);
    Endpoint requiredEndpoint(const toml::table &table, const std::string &key);
    std::vector<Endpoint> endpoints(const toml::table &table, const std::string &key);
    std::string requiredUrl(const toml::table &table, const std::string &key);
    std::string requiredHash(const toml::table &table, const std::string &key);
    Resources resources(const toml::table &table, const std::string &key);

    /** @return the sub-table @p key, or an empty table. If @p required, its absence is a fault. */
    const toml::table &section(const toml::table &table, const std::string &key, bool required);
    /** Records a fault for every key of @p table that was not passed to a reader before. */
    void rejectUnknown(const toml::table &table);
    /** Records a fault at the line of @p node; at line 1 if it is null. */
    void fault(const toml::node *node, const std::string &message);

private:
    const toml::node *find(const toml::table &table, const std::string &key);
    void reportMissing(const toml::table &table, const std::string &key,
                       const std::string &allowed);
    Endpoint parseEndpointNode(const toml::node &node, const std::string &key);

    std::string m_file;
    std::vector<std::string> &m_faults;
    std::map<const toml::table *, std::set<std::string>> m_knownKeys;
    toml::table m_emptyTable;
};

} // namespace Cranberrymount
