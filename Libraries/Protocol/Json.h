#pragma once

#include "State/Configuration.h"
#include "State/ShardRecord.h"
#include "State/Worker.h"

#include <nlohmann/json.hpp>

namespace Cranberrymount {

using Json = nlohmann::json;

/**
 * JSON representation of state in the store and in the API. Amounts are integers in the units that
 * the field names give: cpu_millis, memory_mb, accelerators. from_json() throws ProtocolError or
 * nlohmann's own exceptions; fromJson() and other callers at the boundary convert the latter.
 */
void to_json(Json &json, const Resources &resources);
void from_json(const Json &json, Resources &resources);
void to_json(Json &json, const JobSpec &spec);
void from_json(const Json &json, JobSpec &spec);
void to_json(Json &json, const JobPortion &portion);
void from_json(const Json &json, JobPortion &portion);
void to_json(Json &json, const ShardRecord &record);
void from_json(const Json &json, ShardRecord &record);
void to_json(Json &json, const Configuration &configuration);
void from_json(const Json &json, Configuration &configuration);
void to_json(Json &json, const WorkerInfo &worker);
void from_json(const Json &json, WorkerInfo &worker);

/** @throws ProtocolError if @p text is not JSON. */
Json parseJson(const std::string &text);

/** @throws ProtocolError if @p json does not have the form of a @c T. */
template <typename T> T fromJson(const Json &json);

/** Decodes a JSON text as a @c T. @throws ProtocolError if @p text does not have that form. */
template <typename T> T decodeJson(const std::string &text)
{
    return fromJson<T>(parseJson(text));
}

/** @return a hash of @p spec; equal specs have equal hashes. */
uint64_t digestOf(const JobSpec &spec);

/** @return "batch", "gang" or "service". */
std::string policyName(const WorkPolicy &policy);
/** @throws ProtocolError if @p name is not the name of a policy. */
WorkPolicy policyFromName(const std::string &name);

} // namespace Cranberrymount
