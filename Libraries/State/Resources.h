#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace Cranberrymount {

/** An amount in one unit; amounts of different units cannot be combined or compared. */
template <typename Unit> class Amount
{
public:
    Amount() = default;
    explicit constexpr Amount(int64_t value)
        : m_value(value)
    {
    }

    constexpr int64_t value() const { return m_value; }
    auto operator<=>(const Amount &) const = default;
    constexpr Amount operator+(Amount other) const { return Amount(m_value + other.m_value); }
    constexpr Amount operator-(Amount other) const { return Amount(m_value - other.m_value); }

private:
    int64_t m_value = 0;
};

/** Thousandths of a processor core. */
using CpuMillis = Amount<struct CpuMillisUnit>;
/** Mebibytes of memory. */
using MemoryMb = Amount<struct MemoryMbUnit>;
/** Whole accelerators. */
using AcceleratorCount = Amount<struct AcceleratorUnit>;

/** Resources that a task needs, a worker has or a team may use. */
struct Resources
{
    CpuMillis cpu;
    MemoryMb memory;
    AcceleratorCount accelerators;

    auto operator<=>(const Resources &) const = default;

    Resources operator+(const Resources &other) const
    {
        return {cpu + other.cpu, memory + other.memory, accelerators + other.accelerators};
    }
    Resources operator-(const Resources &other) const
    {
        return {cpu - other.cpu, memory - other.memory, accelerators - other.accelerators};
    }
    Resources &operator+=(const Resources &other) { return *this = *this + other; }
    Resources &operator-=(const Resources &other) { return *this = *this - other; }

    /** @return the resources that @p count tasks of this size need. */
    Resources times(int64_t count) const
    {
        return {CpuMillis(cpu.value() * count), MemoryMb(memory.value() * count),
                AcceleratorCount(accelerators.value() * count)};
    }

    /** @return true if this amount fits into @p available in every dimension. */
    bool fitsIn(const Resources &available) const
    {
        return cpu <= available.cpu && memory <= available.memory
            && accelerators <= available.accelerators;
    }

    /** @return the smaller amount in each dimension. */
    Resources cappedAt(const Resources &cap) const
    {
        return {std::min(cpu, cap.cpu), std::min(memory, cap.memory),
                std::min(accelerators, cap.accelerators)};
    }

    /** @return this amount with negative dimensions raised to zero. */
    Resources clampedToZero() const
    {
        return {std::max(cpu, CpuMillis(0)), std::max(memory, MemoryMb(0)),
                std::max(accelerators, AcceleratorCount(0))};
    }

    /** @return how many tasks of this size fit into @p available; INT32_MAX for a size of zero. */
    int64_t countFittingIn(const Resources &available) const
    {
        int64_t count = INT32_MAX;
        const auto limitCount = [&count](int64_t need, int64_t have) {
            if (need > 0)
                count = std::min(count, std::max<int64_t>(have, 0) / need);
        };
        limitCount(cpu.value(), available.cpu.value());
        limitCount(memory.value(), available.memory.value());
        limitCount(accelerators.value(), available.accelerators.value());
        return count;
    }

    /** @return the dominant share: the largest fraction of @p total that this amount takes in any
     * dimension, 0 to 1. */
    double dominantShareOf(const Resources &total) const
    {
        const auto shareOf = [](int64_t used, int64_t capacity) {
            return capacity > 0 ? static_cast<double>(used) / static_cast<double>(capacity) : 0.0;
        };
        return std::max({shareOf(cpu.value(), total.cpu.value()),
                         shareOf(memory.value(), total.memory.value()),
                         shareOf(accelerators.value(), total.accelerators.value())});
    }
};

} // namespace Cranberrymount
