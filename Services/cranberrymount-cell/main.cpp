#include "PlatformDocuments.h"
#include "PlatformIngress.h"
#include "PlatformStore.h"
#include "PlatformWorkers.h"

#include "Service/CellNode.h"
#include "Service/ServiceMain.h"

#include <asio/signal_set.hpp>
#include <fcntl.h>
#include <glog/logging.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <unistd.h>

namespace {

using namespace Cranberrymount;

/**
 * Time until the load balancer sends a stopping node no more connections: it probes once a second
 * and drops a node after two failed probes.
 */
constexpr Duration BalancerDetectionTime{2200};
/** How long before the kill all calls that are still held are answered. */
constexpr Duration AnswerMargin{900};
/** How long before the kill the process ends even if some clients have not read their responses. */
constexpr Duration ExitMargin{400};
/** How long before the kill a node that holds no call may end. */
constexpr Duration IdleExitMargin{1800};
constexpr Duration DrainPollInterval{50};
constexpr Duration WritePollInterval{10};
/** Connections to the store that are not used for longer are closed. */
constexpr std::chrono::seconds MaxStoreIdleTime{5};
constexpr int ServiceUnavailable = 503;
/** Requests for the readiness or the metrics have no body. */
constexpr std::size_t ProbeBodyBytes = 4096;

/** A node of a cell with its HTTP servers for clients, readiness probes and metrics. */
class CellService
{
public:
    CellService(asio::io_context &context, const CellSettings &settings)
        : m_context(context)
        , m_settings(settings)
        , m_client(context, Platform::PlatformStore::MaxConnections, MaxStoreIdleTime)
        , m_workerClient(context, WorkerConnections::MaxConnections, WorkerConnections::MaxIdleTime)
        , m_store(m_client, context, settings.store)
        , m_documents(m_store)
        , m_workers(m_workerClient, context, {})
        , m_advisor(m_client, context, settings.advisor)
        , m_budget(std::make_shared<RequestMemoryBudget>(
              RequestMemoryBudget::limitsForMachine(settings.memory, settings.maxDescriptors)))
        , m_node(context, settings, {m_store, m_documents, m_workers, m_advisor})
        , m_clientServer(context, settings.front, limits(settings.maxBodyBytes),
                         [this](const HttpRequest &request, const HttpResponder &respond) {
                             handleClient(request, respond);
                         })
        , m_readinessServer(context, settings.readiness, limits(ProbeBodyBytes),
                            [this](const HttpRequest &request, const HttpResponder &respond) {
                                const bool isReady =
                                    Platform::isReadinessProbe(request) && m_node.isReady();
                                respond({isReady ? 200 : ServiceUnavailable, "{}"});
                            })
        , m_metricsServer(
              context, settings.metrics, limits(ProbeBodyBytes),
              [this](const HttpRequest &, const HttpResponder &respond) {
                  recordConnections();
                  respond({200, m_node.metrics().prometheusText(), "text/plain; version=0.0.4"});
              })
        , m_timers(context)
        , m_signals(context, SIGTERM, SIGINT, SIGHUP)
    {
        awaitSignal();
        m_node.start();
    }

    /** Ends the service once the context was stopped. */
    void finish()
    {
        // Requests may have been read whose handlers have not run; the node refuses them.
        m_context.restart();
        m_context.poll();
        const CellNode::StopCounts counts = m_node.stopCounts();
        LOG(INFO) << "event=shutdown_ended in_flight=" << m_clientServer.requestsInFlight()
                  << " unwritten=" << m_clientServer.responsesUnwritten() << " held=" << counts.held
                  << " served=" << counts.served << " refused=" << counts.refused
                  << " undetermined=" << counts.undetermined << " left=" << counts.left;
    }

private:
    /** @return limits of a server whose connections share this process's budget. */
    HttpServerLimits limits(std::size_t bodyBytes) const
    {
        HttpServerLimits limits;
        limits.bodyBytes = bodyBytes;
        limits.budget = m_budget;
        return limits;
    }

    void recordConnections()
    {
        const RequestMemoryBudget::Counts counts = m_budget->counts();
        const auto set = [this](const char *name, auto value) {
            m_node.metrics().set(name, static_cast<double>(value));
        };
        set("connections_open", counts.openConnections);
        set("request_bytes_held", counts.heldBytes);
        set("connections_closed_for_memory", counts.closedForMemory);
        set("connections_closed_for_others", counts.closedForConnections);
        set("requests_closed_stalled", counts.closedStalled);
        set("requests_refused_over_limits", counts.refusedOverLimits);
        set("requests_refused_for_memory", counts.refusedForMemory);
    }

    void handleClient(const HttpRequest &request, const HttpResponder &respond)
    {
        ClientCall call;
        try {
            call = Platform::decodeClientCall(request);
        } catch (const std::exception &error) {
            ClientReply reply;
            reply.outcome = ClientReply::Malformed;
            reply.detail = error.what();
            return respond(Platform::encodeClientReply(reply));
        }
        m_node.handle(
            std::move(call), Platform::clientTimeout(request),
            [respond](const ClientReply &reply) { respond(Platform::encodeClientReply(reply)); });
    }

    void awaitSignal()
    {
        m_signals.async_wait([this](const asio::error_code &error, int signal) {
            if (error)
                return;
            if (signal == SIGHUP)
                LOG(INFO) << "event=reload"; // A node's settings don't change while it runs.
            else
                stop();
            awaitSignal();
        });
    }

    /** Serves until the load balancer and the clients have left, then ends the process. */
    void stop()
    {
        if (m_isStopping)
            return;
        m_isStopping = true;
        LOG(INFO) << "event=shutdown_began in_flight=" << m_clientServer.requestsInFlight();
        m_clientServer.closeAfterResponses();
        m_node.retire([] {});
        const Instant kill = m_timers.now() + m_settings.stopGrace;
        m_timers.after(
            std::max(m_settings.stopGrace - IdleExitMargin,
                     std::min(BalancerDetectionTime, m_settings.stopGrace - AnswerMargin)),
            [this, kill] { finishWhenIdle(kill); });
    }

    /** Answers what is left when no request is in flight, or shortly before the kill. */
    void finishWhenIdle(Instant kill)
    {
        if (m_clientServer.requestsInFlight() > 0 && m_timers.now() < kill - AnswerMargin)
            return m_timers.after(DrainPollInterval, [this, kill] { finishWhenIdle(kill); });
        m_node.answerHeldCalls();
        finishWhenWritten(kill);
    }

    /** Ends the event loop when all responses are written, or shortly before the kill. */
    void finishWhenWritten(Instant kill)
    {
        if (m_clientServer.requestsInFlight() + m_clientServer.responsesUnwritten() > 0
            && m_timers.now() < kill - ExitMargin)
            return m_timers.after(WritePollInterval, [this, kill] { finishWhenWritten(kill); });
        m_context.stop();
    }

    asio::io_context &m_context;
    CellSettings m_settings;
    HttpClient m_client;
    HttpClient m_workerClient;
    Platform::PlatformStore m_store;
    Platform::PlatformDocuments m_documents;
    Platform::PlatformWorkers m_workers;
    Platform::PlatformWorkers m_advisor;
    std::shared_ptr<RequestMemoryBudget> m_budget;
    CellNode m_node;
    HttpServer m_clientServer;
    HttpServer m_readinessServer;
    HttpServer m_metricsServer;
    AsioTimerService m_timers;
    asio::signal_set m_signals;
    bool m_isStopping = false;
};

int run(const std::string &settingsPath)
{
    const CellSettings settings = readCellSettings(settingsPath);
    std::signal(SIGPIPE, SIG_IGN);
    // Writing to a log reader that has stalled must not block the node.
    fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
    asio::io_context context(1);
    CellService service(context, settings);
    LOG(INFO) << "event=started node=" << settings.node.value() << " zone=" << settings.zone.value()
              << " front=" << settings.front.text();
    context.run();
    service.finish();
    return ExitSuccess;
}

} // namespace

int main(int argc, char **argv)
{
    // Line buffering: each whole line reaches the log even if the process is killed right after.
    setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
    google::InitGoogleLogging(argv[0]);
    google::InstallFailureSignalHandler();
    FLAGS_logtostdout = true;
    return runService(argc, argv, "cranberrymount-cell: one node of a cell", run);
}
