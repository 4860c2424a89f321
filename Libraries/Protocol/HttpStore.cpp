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

/** @return the decoded response; a malformed one counts as none. */
template <typename Reply>
Reply decodeOrUnknown(Reply (*decode)(const HttpResult &), const HttpResult &result)
{
    try {
        return decode(result);
    } catch (const Json::exception &error) {
        LOG(ERROR) << "event=store_answer_malformed error=\"" << error.what() << "\"";
    } catch (const ProtocolError &error) {
        LOG(ERROR) << "event=store_answer_malformed error=\"" << error.what() << "\"";
    }
    return decode({HttpResult::Unknown, 0, {}, {}, "malformed response"});
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

template <typename Reply>
void HttpStore::send(const HttpCall &call, Reply (*decode)(const HttpResult &),
                     std::function<void(Reply)> done)
{
    ++m_calls;
    m_client.send(call, [this, decode, done = std::move(done)](HttpResult result) {
        asio::post(m_control, [decode, done, result = std::move(result)] {
            done(decodeOrUnknown(decode, result));
        });
    });
}

void HttpStore::readUrl(const std::string &path, Duration timeout,
                        std::function<void(StoreRead)> done)
{
    send({"GET", m_baseUrl + path, {}, {}, timeout}, &decodeRead, std::move(done));
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
    send(call, &decodeWrite, std::move(done));
}

void HttpStore::remove(const std::string &key, Revision expected,
                       std::function<void(StoreWrite)> done)
{
    send({"DELETE",
          m_baseUrl + "/kv/" + key + "?expected=" + std::to_string(expected.value()),
          {},
          {},
          m_timeout},
         &decodeWrite, std::move(done));
}

void HttpStore::leaseCall(const std::string &method, const std::string &path,
                          const std::string &body, std::function<void(StoreLease)> done)
{
    send({method, m_baseUrl + path, body, {}, m_timeout}, &decodeLease, std::move(done));
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
