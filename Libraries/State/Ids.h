#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace Cranberrymount {

/**
 * The name of an object of one kind; names of different kinds do not convert into each other.
 *
 * Names come from declarations, settings or the platform's lists. An empty name means "none".
 */
template <typename Tag> class Id
{
public:
    Id() = default;
    explicit Id(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string &value() const { return m_value; }
    bool isEmpty() const { return m_value.empty(); }
    auto operator<=>(const Id &) const = default;

private:
    std::string m_value;
};

using JobId = Id<struct JobTag>;
using TeamId = Id<struct TeamTag>;
using WorkerId = Id<struct WorkerTag>;
using ShardId = Id<struct ShardTag>;
using ZoneId = Id<struct ZoneTag>;
using RackId = Id<struct RackTag>;
using EntryId = Id<struct EntryTag>;
using PlanId = Id<struct PlanTag>;
using QueueId = Id<struct QueueTag>;
using MoveId = Id<struct MoveTag>;

/** One task of a job; @c index counts from 0. */
struct TaskId
{
    JobId job;
    uint32_t index = 0;
    auto operator<=>(const TaskId &) const = default;
};

/** A 64-bit counter that can be compared only with counters of the same kind. */
template <typename Tag> class Counter
{
public:
    Counter() = default;
    explicit constexpr Counter(uint64_t value)
        : m_value(value)
    {
    }

    constexpr uint64_t value() const { return m_value; }
    auto operator<=>(const Counter &) const = default;

private:
    uint64_t m_value = 0;
};

/** Fencing token of a shard owner or of a worker lease; a higher one supersedes a lower one. */
using Epoch = Counter<struct EpochTag>;
/** Version of a key in the platform's store; 0 means that the key does not exist. */
using Revision = Counter<struct RevisionTag>;
/** Number of one attempt of a task, never used twice for the same task. */
using AttemptId = Counter<struct AttemptTag>;
/** Version of the list of instances that the platform publishes. */
using InstanceListVersion = Counter<struct InstanceListVersionTag>;

} // namespace Cranberrymount

template <typename Tag> struct std::hash<Cranberrymount::Id<Tag>>
{
    std::size_t operator()(const Cranberrymount::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};
