#include "CellFixture.h"
#include "ClusterSimulation.h"
#include "LimitedServer.h"
#include "PlatformWorkers.h"

#include "Coordination/WorkerConnections.h"
#include "Transport/AsioTimerService.h"

#include <optional>
#include <thread>

using namespace Cranberrymount;

namespace {

/** Connections that a worker takes from all nodes; from the platform's documentation. */
constexpr std::size_t WorkerConnectionLimit = 64;
constexpr std::size_t BurstSize = 40;
constexpr Duration RetryDelay{100};

StartCall startCall(const Endpoint &address, uint32_t index)
{
    StartCall call;
    call.to = {address, WorkerId("w"), Epoch(1), {}};
    call.task = {JobId("0123456789abcdef"), 0, 0, index};
    call.attempt = 1;
    return call;
}

HoldCall holdCall(const Endpoint &address)
{
    HoldCall call;
    call.to = {address, WorkerId("w"), Epoch(1), {}};
    call.wait = Duration(1000);
    return call;
}

/** @return how many attempts to open a second connection a worker that takes one can refuse in
 * @p time: the first is made before that one has opened, and pauses double from then on. */
std::size_t maxRefusedAttempts(Duration time)
{
    std::size_t attempts = 1;
    Duration pause{100};
    // Pauses are rounded down to whole milliseconds.
    for (Duration passed = pause - Duration(1); passed <= time; passed += pause - Duration(1)) {
        if (++attempts > 2)
            pause = std::min(2 * pause, Duration(800));
    }
    return attempts;
}

/** The part of a leader's process that sends commands to one worker over real sockets. It loses
 * power when it is no longer run: its connections stay open. */
class Leader
{
public:
    explicit Leader(Endpoint worker)
        : m_worker(std::move(worker))
    {
    }

    /** Asks for reports all the time and sends starts, a burst at once or one after the other.
     * @return true if all starts have been executed, and one report has arrived. */
    bool serve(std::size_t starts, bool isBurst)
    {
        m_missing = starts;
        m_next = 0;
        if (!m_isHolding)
            hold();
        for (std::size_t sent = 0; sent < (isBurst ? starts : 1); ++sent)
            start(isBurst ? 0 : starts - 1);
        return runUntil([this] { return m_missing == 0 && m_reportCount > 0; });
    }

    /** Sends a start once. @return its outcome */
    StartReply::Outcome startOnce()
    {
        std::optional<StartReply> result;
        m_connections.start(startCall(m_worker, m_next++),
                            [&result](const StartReply &reply) { result = reply; });
        REQUIRE(runUntil([&result] { return result.has_value(); }));
        return result->outcome;
    }

    bool runUntil(const std::function<bool()> &condition)
    {
        const Instant limit = std::chrono::steady_clock::now() + Duration(5000);
        while (!condition() && std::chrono::steady_clock::now() < limit) {
            m_context.restart();
            m_context.run_for(Duration(5));
        }
        return condition();
    }

    void stepDown()
    {
        m_isOver = true;
        m_connections.closeConnections();
    }
    WorkerConnections::Counts counts() const { return m_connections.counts(); }

private:
    void hold()
    {
        if (m_isOver)
            return;
        m_isHolding = true;
        m_connections.hold(holdCall(m_worker), [this](const HoldReply &reply) {
            if (reply.outcome != HoldReply::Answered)
                return m_timers.after(RetryDelay, [this] { hold(); });
            ++m_reportCount;
            hold();
        });
    }

    void start(std::size_t more)
    {
        m_connections.start(startCall(m_worker, m_next++), [this, more](const StartReply &reply) {
            if (reply.outcome != StartReply::Started)
                return m_timers.after(RetryDelay, [this, more] { start(more); });
            --m_missing;
            if (more > 0)
                start(more - 1);
        });
    }

    Endpoint m_worker;
    asio::io_context m_context{1};
    HttpClient m_client{m_context, WorkerConnections::MaxConnections,
                        WorkerConnections::MaxIdleTime};
    Platform::PlatformWorkers m_commands{m_client, m_context, {}};
    AsioTimerService m_timers{m_context};
    LogRateLimiter m_log{m_timers};
    WorkerConnections m_connections{m_commands, m_timers, m_log, [] { return 0.5; }};
    std::size_t m_missing = 0;
    uint32_t m_next = 0;
    std::size_t m_reportCount = 0;
    bool m_isHolding = false;
    bool m_isOver = false;
};

class LimitedServerFixture
{
protected:
    void awaitOpen(std::size_t count) const
    {
        while (m_server.openCount() != count)
            std::this_thread::yield();
    }

    LimitedServer m_server{WorkerConnectionLimit};
};

} // namespace

// Guards against a cell that does not recover: the connections of leaders that lost power used up
// those of the workers, and the next leader's commands were reset.
TEST_CASE_METHOD(LimitedServerFixture,
                 "Fifteen leaders under load that lose power leave the next one connections enough",
                 "[connections]")
{
    constexpr std::size_t LostLeaders = 15;
    std::vector<std::unique_ptr<Leader>> leaders;
    for (std::size_t lost = 0; lost < LostLeaders; ++lost) {
        leaders.push_back(std::make_unique<Leader>(m_server.address()));
        INFO("leader " << lost << ", connections open " << m_server.openCount());
        REQUIRE(leaders.back()->serve(BurstSize, true));
    }
    Leader next(m_server.address());
    CHECK(next.serve(BurstSize, true));
    CHECK(m_server.resetCount() == 0);
    CHECK(m_server.openCount() <= WorkerConnectionLimit);
}

// Guards against connections that nobody needs.
TEST_CASE_METHOD(LimitedServerFixture, "Leader that sends few starts opens two connections",
                 "[connections]")
{
    Leader leader(m_server.address());
    REQUIRE(leader.serve(BurstSize, false));
    CHECK(m_server.openCount() == 2);
}

// Guards against former leaders whose connections use up those of a worker.
TEST_CASE_METHOD(LimitedServerFixture, "Leader that steps down closes its connections at once",
                 "[connections]")
{
    Leader leader(m_server.address());
    REQUIRE(leader.serve(BurstSize, true));
    leader.stepDown();
    leader.runUntil([this] { return m_server.openCount() == 0; });
    CHECK(m_server.openCount() == 0);
}

// Guards against a cell that does not recover: with its workers' connections used up but for one, a
// leader opened new ones again and again instead of using what it had.
TEST_CASE("Leader that gets one connection sends its starts and report requests on it",
          "[connections]")
{
    LimitedServer server(1);
    Leader leader(server.address());
    const Instant begin = std::chrono::steady_clock::now();
    CHECK(leader.serve(BurstSize, false));
    const auto time = std::chrono::steady_clock::now() - begin;
    CHECK(server.startCount() == BurstSize);
    CHECK(server.resetCount() <= maxRefusedAttempts(std::chrono::duration_cast<Duration>(time)));
}

// Guards against two runs of a task: a start that was executed and not answered was sent again on
// another connection, because libcurl could not open the new one to which it moved.
TEST_CASE_METHOD(LimitedServerFixture,
                 "Start that is left unanswered before new connections are refused is sent once",
                 "[connections]")
{
    Leader leader(m_server.address());
    REQUIRE(leader.serve(BurstSize, false));
    m_server.closesAfterNextStart = true;
    CHECK(leader.startOnce() == StartReply::Unknown);
    CHECK(m_server.startCount() == BurstSize + 1);
}

namespace {

/** A worker that takes a given number of connections, in virtual time. */
class FakeConnections : public WorkerCommands
{
public:
    explicit FakeConnections(TimerService &timers)
        : m_timers(timers)
    {
    }

    void hold(HoldCall call, std::function<void(HoldReply)> done) override
    {
        lastHold = call;
        HoldReply reply;
        reply.outcome = HoldReply::Answered;
        HoldReply refusal;
        refusal.fault = ConnectionFault::Refused;
        use<HoldReply>(std::min(call.wait, reportTime), reply, refusal, std::move(done));
    }
    void start(StartCall, std::function<void(StartReply)> done) override
    {
        use<StartReply>(Duration(2), {StartReply::Started},
                        {StartReply::Refused, ConnectionFault::Refused}, std::move(done));
    }
    void stop(StopCall, std::function<void(StopReply)> done) override
    {
        use<StopReply>(Duration(2), {StopReply::Accepted},
                       {StopReply::Unknown, ConnectionFault::Refused}, std::move(done));
    }

    /** Replies are handled this long after their connection has become free. */
    Duration replyLag{0};
    /** Longest time until a report request is answered. */
    Duration reportTime{1000};
    std::size_t limit = WorkerConnectionLimit;
    std::size_t refusedCount = 0;
    std::size_t open = 0;
    HoldCall lastHold;

private:
    template <typename Reply>
    void use(Duration time, Reply reply, Reply refusal, std::function<void(Reply)> done)
    {
        if (m_inUse == open && open >= limit) {
            ++refusedCount;
            return m_timers.after(Duration(1), [done, refusal] { done(refusal); });
        }
        reply.reusedConnection = m_inUse < open;
        open = std::max(open, ++m_inUse);
        m_timers.after(time, [this, done, reply] {
            --m_inUse;
            m_timers.after(replyLag, [done, reply] { done(reply); });
        });
    }

    TimerService &m_timers;
    std::size_t m_inUse = 0;
};

class FakeConnectionsFixture
{
protected:
    void run(Duration time) { m_events.runUntil(m_events.now() + time); }

    /** Requests a report each 100 ms, for @p time. */
    void requestReports(Duration time)
    {
        for (Duration passed{0}; passed < time; passed += Duration(100)) {
            m_connections.hold(holdCall(m_address), [this](const HoldReply &reply) {
                m_answeredReports += reply.outcome == HoldReply::Answered ? 1 : 0;
                m_unsent += reply.fault == ConnectionFault::Refused ? 1 : 0;
            });
            run(Duration(100));
        }
    }

    Endpoint m_address{"10.0.0.1", 1};
    EventQueue m_events;
    EventQueueTimers m_timers{m_events};
    LogRateLimiter m_log{m_timers};
    FakeConnections m_worker{m_timers};
    double m_randomNumber = 0;
    WorkerConnections m_connections{m_worker, m_timers, m_log, [this] { return m_randomNumber; }};
    /** Requests the next report whenever one has arrived or failed. */
    void keepRequestingReports()
    {
        m_connections.hold(holdCall(m_address), [this](const HoldReply &reply) {
            const bool isAnswered = reply.outcome == HoldReply::Answered;
            m_answeredReports += isAnswered ? 1 : 0;
            m_timers.after(isAnswered ? Duration(0) : RetryDelay,
                           [this] { keepRequestingReports(); });
        });
    }
    /** Sends starts one after the other, each until it has been executed. */
    void keepSendingStarts()
    {
        m_connections.start(startCall(m_address, m_starts), [this](const StartReply &reply) {
            const bool isStarted = reply.outcome == StartReply::Started;
            m_starts += isStarted ? 1 : 0;
            m_timers.after(isStarted ? Duration(0) : RetryDelay, [this] { keepSendingStarts(); });
        });
    }

    std::size_t m_answeredReports = 0;
    std::size_t m_unsent = 0;
    uint32_t m_starts = 0;
};

} // namespace

// Guards against retries that load a full worker: each refused report request was repeated within
// half a second, from every leader, on a new connection.
TEST_CASE_METHOD(FakeConnectionsFixture,
                 "Worker without free connections is asked again after growing pauses",
                 "[connections]")
{
    m_worker.limit = 0;
    requestReports(Duration(2000));
    const std::size_t first = m_worker.refusedCount;
    requestReports(Duration(2000));
    const std::size_t second = m_worker.refusedCount - first;
    // Half the longest pause of 0.8 s lies between two attempts.
    CHECK(second <= 5);
    CHECK(second < first);
    CHECK(m_answeredReports == 0);
    CHECK(m_unsent == 40);
    CHECK(m_connections.counts().fullWorkers == 1);
    m_worker.limit = WorkerConnectionLimit;
    run(Duration(800));
    requestReports(Duration(1000));
    CHECK(m_answeredReports > 0);
    CHECK(m_connections.counts().fullWorkers == 0);
}

// Guards against a cell that does not recover, as above, with the number of attempts in an exact
// time. A reply that is handled late let a command reuse a connection although it was to open one;
// that counted as a new one, and the pauses began anew.
TEST_CASE_METHOD(FakeConnectionsFixture,
                 "Worker with one connection is asked for another one after growing pauses",
                 "[connections]")
{
    m_worker.limit = 1;
    m_worker.reportTime = Duration(100);
    m_worker.replyLag = Duration(GENERATE(0, 1, 20, 50));
    CAPTURE(m_worker.replyLag);
    keepRequestingReports();
    keepSendingStarts();
    m_randomNumber = 0.5;
    // The time that the test over real sockets takes on an idle machine.
    constexpr Duration Time{4250};
    run(Time);
    CHECK(m_starts > 15);
    CHECK(m_answeredReports > 15);
    CHECK(m_worker.open == 1);
    CHECK(m_worker.refusedCount <= maxRefusedAttempts(Time));
    CHECK(m_worker.refusedCount < 10);
}

// Guards against ends that are acknowledged to a worker's next incarnation, which may have started
// while the request waited for a connection.
TEST_CASE_METHOD(FakeConnectionsFixture,
                 "Report request that has waited for a connection acknowledges no end",
                 "[connections]")
{
    m_worker.limit = 1;
    m_connections.start(startCall(m_address, 0), [](const StartReply &) {});
    run(Duration(10));
    // The second one shows that there is no other connection.
    m_connections.hold(holdCall(m_address), [](const HoldReply &) {});
    m_connections.hold(holdCall(m_address), [](const HoldReply &) {});
    run(Duration(2000));
    HoldCall call = holdCall(m_address);
    call.acknowledgedEnds = 7;
    m_connections.hold(holdCall(m_address), [](const HoldReply &) {});
    m_connections.hold(call, [](const HoldReply &) {});
    run(Duration(110));
    CHECK(m_worker.lastHold.acknowledgedEnds == 0);
    run(Duration(2000));
    m_connections.hold(call, [](const HoldReply &) {});
    run(Duration(50));
    CHECK(m_worker.lastHold.acknowledgedEnds == 7);
}

// Guards against connections that nobody needs, and against starts that wait for long: a leader
// opened one connection for each start of a burst.
TEST_CASE_METHOD(FakeConnectionsFixture,
                 "Burst of starts opens further connections only if it lasts, up to a limit",
                 "[connections]")
{
    std::size_t started = 0;
    const auto sendBurst = [this, &started](uint32_t size) {
        for (uint32_t index = 0; index < size; ++index)
            m_connections.start(startCall(m_address, index), [&started](const StartReply &reply) {
                started += reply.outcome == StartReply::Started ? 1 : 0;
            });
        run(Duration(200));
    };
    m_connections.hold(holdCall(m_address), [](const HoldReply &) {});
    sendBurst(8);
    CHECK(started == 8);
    CHECK(m_worker.open == 2);
    sendBurst(80);
    CHECK(started == 88);
    CHECK(m_worker.open == WorkerConnections::MaxConnections);
}

// Guards against retries that use up more of what is short: a start whose connection was refused
// was sent to the same worker again at once, some twenty times a second.
TEST_CASE_METHOD(CellFixture, "Start whose connection is refused is not sent there again at once",
                 "[connections]")
{
    for (FakeCellWorker &worker : m_cell.workers)
        worker.refusesStartConnections = true;
    const JobId job = m_cell.submit(1, Small, Duration(300));
    m_cell.run(Duration(5000));
    for (FakeCellWorker &worker : m_cell.workers) {
        // Pauses of 0.25, 0.5, 1 and 2 s.
        CHECK(worker.refusedStarts <= 5);
        worker.refusesStartConnections = false;
    }
    CHECK(reachesState(job, JobState::Done, Duration(4000)));
}

// Guards against jobs that wait for one full worker while others have free connections.
TEST_CASE_METHOD(CellFixture, "Start whose connection is refused is sent to another worker",
                 "[connections]")
{
    for (std::size_t index = 1; index < m_cell.workers.size(); ++index)
        m_cell.workers[index].refusesStartConnections = true;
    const JobId job = m_cell.submit(1, Small, Duration(300));
    CHECK(reachesState(job, JobState::Done, Duration(1500)));
    CHECK(m_cell.startCount == 1);
}
