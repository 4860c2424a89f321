#include "Service/AwaitCompletion.h"
#include "Service/EntryApi.h"
#include "Service/EntryNode.h"
#include "Service/ServiceMain.h"
#include "Service/Settings.h"

#include <glog/logging.h>

#include <csignal>
#include <thread>

namespace {

using namespace Cranberrymount;

/** Limit on the time from the announcement of a shutdown until requests have ended and leases are
 * released. */
constexpr std::chrono::seconds ShutdownTimeout{20};
constexpr std::chrono::milliseconds DrainPollInterval{20};
/** Time in which the load balancer and the peers notice that this entry leaves. */
constexpr std::chrono::milliseconds LeaveDetectionTime{1500};

/** Returns when @p condition holds, or at @p deadline. */
template <typename Condition>
void waitUntil(std::chrono::steady_clock::time_point deadline, Condition condition)
{
    while (!condition() && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(DrainPollInterval);
}

/**
 * Announces the shutdown and keeps serving until the load balancer has noticed it. Then waits for
 * requests in flight, releases shards and leases, and accepts no more connections.
 */
void shutDown(EntryNode &node, HttpServer &server)
{
    LOG(INFO) << "event=shutdown_begins in_flight=" << server.requestsInFlight();
    const auto deadline = std::chrono::steady_clock::now() + ShutdownTimeout;
    node.announceLeaving();
    std::this_thread::sleep_for(LeaveDetectionTime);
    waitUntil(deadline, [&node] { return node.slots().slotsInUse() == 0; });
    awaitCompletion(deadline, [&node](std::function<void()> done) {
        node.runOnControlThread(
            [&node, done = std::move(done)] { node.controlPlane().releaseAll(done); });
    });
    server.stopAccepting();
    waitUntil(deadline, [&server] {
        return server.requestsInFlight() == 0 && server.responsesUnwritten() == 0;
    });
    LOG(INFO) << "event=shutdown_ends in_flight=" << server.requestsInFlight();
}

int run(const std::string &settingsPath)
{
    const Settings settings = readSettings(settingsPath);
    // Blocked in all threads, so that only the sigwait() below receives these signals.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    EntryNode node(settings);
    EntryApi api(node);
    HttpServerLimits limits;
    limits.threads = settings.httpThreads;
    limits.bodyBytes = settings.maxBodyBytes;
    limits.budget = std::make_shared<RequestMemoryBudget>(RequestMemoryBudget::limitsForMachine(
        MemoryMb(settings.memoryMb), settings.maxDescriptors));
    HttpServer server(settings.http, limits, [&api](HttpRequest request, HttpResponder respond) {
        api.handle(std::move(request), std::move(respond));
    });
    node.start();
    LOG(INFO) << "event=started entry=" << settings.entry.value()
              << " zone=" << settings.zone.value() << " http=" << settings.http.text();
    int signal = 0;
    sigwait(&signals, &signal);
    shutDown(node, server);
    return ExitSuccess;
}

} // namespace

int main(int argc, char **argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    return runService(argc, argv, "cranberrymountd: one entry instance of the scheduler", run);
}
