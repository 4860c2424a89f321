#pragma once

#include "Coordination/ClaimRegistry.h"
#include "Coordination/ControlPlane.h"
#include "Coordination/SlotTable.h"
#include "Protocol/ControlThreadPeerNetwork.h"
#include "Protocol/HttpStore.h"
#include "Protocol/HttpWorkerLink.h"
#include "Protocol/TcpPeerNetwork.h"
#include "Service/InstanceList.h"
#include "Service/LookupRouter.h"
#include "Service/Metrics.h"
#include "Service/Settings.h"
#include "Service/Tracer.h"
#include "Transport/AsioTimerService.h"

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

namespace Cranberrymount {

/**
 * One entry instance: creates all components and connects them. Scheduling decisions, store access
 * and configuration run on the control thread; peer links, HTTP and lookups run on traffic threads.
 */
class EntryNode
{
public:
    explicit EntryNode(Settings settings);
    ~EntryNode();

    EntryNode(const EntryNode &) = delete;
    EntryNode &operator=(const EntryNode &) = delete;

    void start();
    /** Reports to balancer and peers that this entry stops soon; it still serves requests. */
    void announceLeaving();
    bool isLeaving() const { return m_leaving; }

    /** Runs @p action on the control thread. */
    void runOnControlThread(std::function<void()> action);

    const Settings &settings() const { return m_settings; }
    Metrics &metrics() { return m_metrics; }
    Tracer &tracer() { return m_tracer; }
    LookupRouter &router() { return m_router; }
    SlotTable &slots() { return m_slots; }
    /** @return the configuration if its freshness evidence is recent enough, else null; callable
     * from any thread. */
    std::shared_ptr<const Configuration> freshConfiguration() const;
    /** @return the latest known configuration, empty if none is known; callable from any thread. */
    std::shared_ptr<const Configuration> latestConfiguration() const;

    // The functions below may only be called on the control thread.
    ControlPlane &controlPlane() { return m_controlPlane; }
    Store &store() { return m_store; }
    ClaimRegistry &claims() { return m_claims; }
    /** @return the lease of store keys that are deleted 12 to 24 hours after they were written. */
    RotatingLease &dayLease() { return m_dayLease; }
    const InstanceList &instances() const { return m_instances; }
    /** Blocks traffic to the addresses @p peers and to URLs that begin with one of @p urls, for
     * failure tests. */
    void isolateFrom(const std::set<std::string> &peers, const std::vector<std::string> &urls);

private:
    void handlePeerMessage(PeerMessage message, const std::string &trace,
                           std::function<void(PeerMessage)> reply);
    void updateSlots();
    /** @return how long requests of a target's former leaseholder may still occupy its slots. */
    Duration slotQuarantine() const;
    void updatePeers();
    void publishConfiguration();
    void addStatusCounters(Json &status) const;

    Settings m_settings;
    Metrics m_metrics;
    Tracer m_tracer;
    asio::io_context m_control;
    asio::io_context m_traffic;
    asio::executor_work_guard<asio::io_context::executor_type> m_controlGuard;
    asio::executor_work_guard<asio::io_context::executor_type> m_trafficGuard;
    AsioTimerService m_timers;
    HttpClient m_controlClient;
    HttpClient m_trafficClient;
    HttpStore m_store;
    HttpWorkerLink m_workers;
    SlotTable m_slots;
    TcpPeerNetwork m_peers;
    ControlThreadPeerNetwork m_controlPeers;
    LookupRouter m_router;
    ControlPlane m_controlPlane;
    ClaimRegistry m_claims;
    RotatingLease m_dayLease;
    InstanceList m_instances;
    std::atomic<bool> m_leaving = false;

    mutable std::mutex m_publishedMutex;
    std::shared_ptr<const Configuration> m_published;
    Instant m_publishedFreshUntil;

    std::thread m_controlThread;
    std::thread m_trafficThread;
};

} // namespace Cranberrymount
