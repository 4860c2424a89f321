#include "Protocol/HttpStore.h"

#include "Protocol/Json.h"
#include "Protocol/ProtocolError.h"

#include <asio/post.hpp>
#include <glog/logging.h>

namespace Cranberrymount {

namespace {

constexpr int NotFoundStatus = 404;
constexpr int ConflictStatus = 409;

StoreRead decodeRead(const HttpResult &result)
{
    StoreRead read;
    if (result.outcome != HttpResult::Answered)
        return read;
    if (result.status == NotFoundStatus) {
        read.answered = true;
        return read;
    }
    if (!result.isOk())
        return read;
    const Json json = parseJson(result.body);
    for (const Json &entry : json.at("entries")) {
        read.entries.push_back({entry.at("key").get<std::string>(),
                                entry.at("value").get<std::string>(),
                                Revision(entry.at("revision").get<uint64_t>())});
    }
    read.answered = true;
    return read;
}

StoreWrite decodeWrite(const HttpResult &result)
{
    if (result.outcome == HttpResult::NotSent)
        return {StoreWrite::NotSent, {}};
    if (result.outcome == HttpResult::Unknown)
        return {StoreWrite::Unknown, {}};
    if (result.isOk())
        return {StoreWrite::Written,
                Revision(parseJson(result.body).at("revision").get<uint64_t>())};
    if (result.status == ConflictStatus)
        return {StoreWrite::Conflict, {}};
    return {StoreWrite::Unknown, {}};
}

StoreLease decodeLease(const HttpResult &result)
{
    StoreLease lease;
    if (result.outcome != HttpResult::Answered)
        return lease;
    lease.answered = result.isOk() || result.status == NotFoundStatus;
    lease.alive = result.isOk();
    if (lease.alive)
        lease.id = StoreLeaseId(parseJson(result.body).at("lease").get<uint64_t>());
    return lease;
}

} // namespace

HttpStore::HttpStore(HttpClient &client, asio::io_context &control, std::string baseUrl,
                     Duration timeout)
    : m_client(client)
    , m_control(control)
    , m_baseUrl(std::move(baseUrl))
    , m_timeout(timeout)
{
}

void HttpStore::send(HttpCall call, std::function<void(HttpResult)> done)
{
    ++m_calls;
    m_client.send(std::move(call), [this, done = std::move(done)](HttpResult result) {
        asio::post(m_control, [done, result = std::move(result)] {
            try {
                done(result);
            } catch (const Json::exception &error) {
                LOG(ERROR) << "event=store_answer_malformed error=\"" << error.what() << "\"";
                done({HttpResult::Unknown, 0, {}, {}, "malformed response"});
            } catch (const ProtocolError &error) {
                LOG(ERROR) << "event=store_answer_malformed error=\"" << error.what() << "\"";
                done({HttpResult::Unknown, 0, {}, {}, "malformed response"});
            }
        });
    });
}

void HttpStore::readUrl(const std::string &path, Duration timeout,
                        std::function<void(StoreRead)> done)
{
    send({"GET", m_baseUrl + path, {}, {}, timeout},
         [done = std::move(done)](const HttpResult &result) { done(decodeRead(result)); });
}

void HttpStore::read(const std::string &key, std::function<void(StoreRead)> done)
{
    readUrl("/kv/" + key, m_timeout, std::move(done));
}

void HttpStore::list(const std::string &prefix, std::function<void(StoreRead)> done)
{
    readUrl("/list/" + prefix, m_timeout, std::move(done));
}

void HttpStore::watch(const std::string &key, Revision since, Duration wait,
                      std::function<void(StoreRead)> done)
{
    readUrl("/watch/" + key + "?since=" + std::to_string(since.value())
                + "&wait_ms=" + std::to_string(wait.count()),
            m_timeout + wait, std::move(done));
}

void HttpStore::write(StorePut put, std::function<void(StoreWrite)> done)
{
    const Json body = {
        {"value", put.value}, {"expected", put.expected.value()}, {"lease", put.lease.value()}};
    HttpCall call{"PUT", m_baseUrl + "/kv/" + put.key, body.dump(), {}, m_timeout};
    // A copy would conflict with the first one.
    call.sendsBodyOnce = true;
    send(std::move(call),
         [done = std::move(done)](const HttpResult &result) { done(decodeWrite(result)); });
}

void HttpStore::remove(const std::string &key, Revision expected,
                       std::function<void(StoreWrite)> done)
{
    send({"DELETE",
          m_baseUrl + "/kv/" + key + "?expected=" + std::to_string(expected.value()),
          {},
          {},
          m_timeout},
         [done = std::move(done)](const HttpResult &result) { done(decodeWrite(result)); });
}

void HttpStore::leaseCall(const std::string &method, const std::string &path,
                          const std::string &body, std::function<void(StoreLease)> done)
{
    send({method, m_baseUrl + path, body, {}, m_timeout},
         [done = std::move(done)](const HttpResult &result) { done(decodeLease(result)); });
}

void HttpStore::createLease(Duration ttl, std::function<void(StoreLease)> done)
{
    leaseCall("POST", "/lease", Json{{"ttl_ms", ttl.count()}}.dump(), std::move(done));
}

void HttpStore::renewLease(StoreLeaseId id, std::function<void(StoreLease)> done)
{
    leaseCall("POST", "/lease/" + std::to_string(id.value()), {}, std::move(done));
}

void HttpStore::endLease(StoreLeaseId id, std::function<void(StoreLease)> done)
{
    leaseCall("DELETE", "/lease/" + std::to_string(id.value()), {}, std::move(done));
}

} // namespace Cranberrymount
