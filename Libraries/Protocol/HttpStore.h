#pragma once

#include "Protocol/Store.h"
#include "Transport/HttpClient.h"

#include <asio/io_context.hpp>

#include <atomic>
#include <cstdint>

namespace Cranberrymount {

/** The platform's store over HTTP and JSON; docs/Platform.md describes the protocol. */
class HttpStore : public Store
{
public:
    /** Callbacks run on @p control; @p timeout is per call, and watch() adds its waiting time. */
    HttpStore(HttpClient &client, asio::io_context &control, std::string baseUrl, Duration timeout);

    void read(const std::string &key, std::function<void(StoreRead)> done) override;
    void list(const std::string &prefix, std::function<void(StoreRead)> done) override;
    void watch(const std::string &key, Revision since, Duration wait,
               std::function<void(StoreRead)> done) override;
    void write(StorePut put, std::function<void(StoreWrite)> done) override;
    void remove(const std::string &key, Revision expected,
                std::function<void(StoreWrite)> done) override;
    void createLease(Duration ttl, std::function<void(StoreLease)> done) override;
    void renewLease(StoreLeaseId id, std::function<void(StoreLease)> done) override;
    void endLease(StoreLeaseId id, std::function<void(StoreLease)> done) override;

    /** @return the number of calls sent since construction. */
    uint64_t calls() const { return m_calls; }

private:
    /** Calls @p done once, with what @p decode returns for the response; a malformed response
     * counts as none. */
    template <typename Reply>
    void send(const HttpCall &call, Reply (*decode)(const HttpResult &),
              std::function<void(Reply)> done);
    void readUrl(const std::string &path, Duration timeout, std::function<void(StoreRead)> done);
    void leaseCall(const std::string &method, const std::string &path, const std::string &body,
                   std::function<void(StoreLease)> done);

    HttpClient &m_client;
    asio::io_context &m_control;
    std::string m_baseUrl;
    Duration m_timeout;
    std::atomic<uint64_t> m_calls = 0;
};

} // namespace Cranberrymount
