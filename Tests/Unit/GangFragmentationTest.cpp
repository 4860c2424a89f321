#include "AdvisedPoolFixture.h"

using namespace Cranberrymount;

namespace {

/** A load like that of the engraving house (docs/HardLoad.md): gangs in a pool whose rest is filled
 * by short jobs of other sizes. */
class FragmentedPoolFixture : public AdvisedPoolFixture
{
public:
    explicit FragmentedPoolFixture(unsigned seed)
    {
        m_random.seed(seed);
        m_estimateError = 0.9;
        m_taskScatter = 0.2;
        addWorkers(350);
        addQueue("gang", 1, {Duration(455), std::chrono::microseconds(6500), TicketLifetime}, 2.2,
                 Duration(1000));
        addQueue("batch", 2, {Duration(104), std::chrono::microseconds(1430), TicketLifetime}, 4,
                 Duration(3000));
        addQueue("lookup", 0, {Duration(14), std::chrono::microseconds(208), TicketLifetime}, 1.5,
                 Duration(250));
        m_allowedFractions = {
            {QueueId("gang"), 0.25}, {QueueId("batch"), 0.45}, {QueueId("lookup"), 0.7}};
        addCallers(42);
    }

    /** Plays a usual load with a burst of gangs and one of lookups. */
    void play()
    {
        submitLoad(Duration(8'000), 1, 1);
        submitLoad(Duration(4'000), 2, 1);
        submitLoad(Duration(8'000), 1, 1);
        submitLoad(Duration(4'000), 1, 2);
        submitLoad(Duration(12'000), 1, 1);
    }

    /** @return the given quantile of the gangs' waits, in milliseconds. */
    double gangWaitMs(double quantile) { return static_cast<double>(gangWait(quantile).count()); }
    double gangCalls() { return static_cast<double>(m_calls[QueueId("gang")]); }
    /** @return core-seconds that were idle while gangs waited. */
    double idleBesideGangs() const { return m_idleBesideGangs; }

private:
    /** Submits jobs for @p time; the factors scale the usual rates of the kinds. */
    void submitLoad(Duration time, double gangs, double lookups)
    {
        std::exponential_distribution<double> next(1);
        std::lognormal_distribution<double> scatter(-0.08, 0.4);
        const Instant end = m_events.now() + time;
        std::array<double, 3> due{};
        for (double now = 0; m_events.now() < end; now += 0.05) {
            const auto arrive = [&](std::size_t kind, double rate, const auto &submitOne) {
                for (; due[kind] <= now; due[kind] += next(m_random) / rate)
                    submitOne();
            };
            const auto tasks = [&](double mean) {
                return static_cast<uint32_t>(std::max(1.0, mean * scatter(m_random)));
            };
            // Run times are a tenth longer than asked for, since some data is remote.
            arrive(0, 5.9 * gangs,
                   [&] { submit("gang", tasks(20), 4'500, Duration(4'400), true); });
            arrive(1, 12.3, [&] { submit("batch", tasks(25), 1'700, Duration(2'400), false); });
            arrive(2, 88.3 * lookups, [&] {
                submit("lookup", tasks(3.3), 2'500, Duration(1'100), m_jobCount % 10 < 3);
            });
            runRound();
            measure();
        }
    }

    void measure()
    {
        const std::size_t started = std::ranges::count_if(
            m_gangs, [this](const auto &gang) { return m_waits.contains(gang.first); });
        if (started == m_gangs.size())
            return;
        double idle = 16.0 * static_cast<double>(m_infos.size());
        for (const auto &runs : m_runs) {
            for (const Run &run : runs)
                idle -= static_cast<double>(run.need.cpu.value()) / 1000;
        }
        m_idleBesideGangs += idle * std::chrono::duration<double>(RoundInterval).count();
    }

    double m_idleBesideGangs = 0;
};

} // namespace

// Guards against gangs that wait while capacity is free, since short jobs leave it in pieces that
// are too small for their members, or since a gang loses its room while its calls are in flight.
TEST_CASE("Gangs start in time in a pool whose rest is filled by short jobs",
          "[dispatcher][gangfragmentation]")
{
    constexpr unsigned Seeds = 6;
    double p50 = 0;
    double p90 = 0;
    double longest = 0;
    double calls = 0;
    double idle = 0;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        FragmentedPoolFixture pool(seed);
        pool.play();
        p50 += pool.gangWaitMs(0.5) / Seeds;
        p90 += pool.gangWaitMs(0.9) / Seeds;
        longest += pool.gangWaitMs(1) / Seeds;
        calls += pool.gangCalls() / Seeds;
        idle += pool.idleBesideGangs() / Seeds;
    }
    INFO("waits p50 " << p50 << " p90 " << p90 << " max " << longest << " calls " << calls
                      << " idle core-seconds beside waiting gangs " << idle);
    CHECK(p90 <= 5'700);
    CHECK(longest <= 15'000);
    CHECK(calls <= 830);
}
