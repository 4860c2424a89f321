#pragma once

#include "Protocol/WorkerLink.h"
#include "Transport/HttpClient.h"

#include <asio/io_context.hpp>

#include <atomic>

namespace Cranberrymount {

/** Calls workers over HTTP and JSON; docs/Platform.md describes the protocol. */
class HttpWorkerLink : public WorkerLink
{
public:
    /** Callbacks run on @p control; @p timeout is per call, and lease() adds its waiting time. */
    HttpWorkerLink(HttpClient &client, asio::io_context &control, Duration timeout);

    void lease(const WorkerInfo &worker, LeaseRequest request,
               std::function<void(LeaseResult)> done) override;
    void probe(const WorkerInfo &worker, std::function<void(bool)> done) override;
    void start(const WorkerInfo &worker, Epoch epoch, std::vector<StartCommand> commands,
               std::function<void(StartResult)> done) override;
    void stop(const WorkerInfo &worker, Epoch epoch, std::vector<AttemptRef> attempts,
              bool checkpoint) override;
    void release(const WorkerInfo &worker, EntryId holder, Epoch epoch,
                 std::function<void(bool)> done) override;

    /** @return the bytes of request and response bodies since construction. */
    uint64_t bodyBytes() const { return m_bodyBytes; }
    /** @return the number of calls sent since construction. */
    uint64_t calls() const { return m_calls; }

private:
    void send(HttpCall call, std::function<void(HttpResult)> done);

    HttpClient &m_client;
    asio::io_context &m_control;
    Duration m_timeout;
    std::atomic<uint64_t> m_bodyBytes = 0;
    std::atomic<uint64_t> m_calls = 0;
};

} // namespace Cranberrymount
