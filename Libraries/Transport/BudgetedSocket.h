#pragma once

#include "Transport/RequestMemoryBudget.h"

#include <fmt/format.h>
#include <restinio/all.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <string_view>
#include <vector>

namespace Cranberrymount {

/** Settings of a server for the sockets that it accepts. */
struct SocketLimits
{
    std::shared_ptr<RequestMemoryBudget> budget;
    /** Longest body of a request. */
    std::size_t bodyBytes = 0;
};

/** Makes a connection's account available to the request handler that RESTinio calls meanwhile. */
class CurrentAccount
{
public:
    explicit CurrentAccount(RequestMemoryBudget::AccountHandle account)
        : m_previous(std::exchange(current(), std::move(account)))
    {
    }
    ~CurrentAccount() { current() = std::move(m_previous); }

    CurrentAccount(const CurrentAccount &) = delete;
    CurrentAccount &operator=(const CurrentAccount &) = delete;

    /** @return the account of the connection whose data this thread processes; may be null. */
    static RequestMemoryBudget::AccountHandle &current()
    {
        static thread_local RequestMemoryBudget::AccountHandle account;
        return account;
    }

private:
    RequestMemoryBudget::AccountHandle m_previous;
};

/**
 * Socket for RESTinio that reports to a RequestMemoryBudget what it reads and writes, and whose
 * connection the budget can end. Its interface is the part of Asio's that RESTinio uses.
 */
class BudgetedSocket
{
    using Socket = asio::ip::tcp::socket;

public:
    using executor_type = Socket::executor_type; // NOLINT: Asio's name

    BudgetedSocket(asio::io_context &context, SocketLimits limits)
        : m_socket(context)
        , m_limits(std::move(limits))
    {
    }
    /** Leaves @p other able to accept the next connection, for which it needs its limits. */
    BudgetedSocket(BudgetedSocket &&other) noexcept
        : m_socket(std::move(other.m_socket))
        , m_limits(other.m_limits) // NOLINT(performance-move-constructor-init)
        , m_account(std::move(other.m_account))
    {
    }
    BudgetedSocket &operator=(BudgetedSocket &&) = delete;
    ~BudgetedSocket() { closeAccount(); }

    /** Adds the connection, which has been accepted, to the budget. */
    void open() { m_account = m_limits.budget->open(m_socket.native_handle()); }

    auto &lowest_layer() { return m_socket.lowest_layer(); }             // NOLINT: Asio's name
    const auto &lowest_layer() const { return m_socket.lowest_layer(); } // NOLINT: Asio's name
    auto get_executor() { return m_socket.get_executor(); }              // NOLINT: Asio's name
    auto remote_endpoint() const { return m_socket.remote_endpoint(); }  // NOLINT: Asio's name
    auto is_open() const { return m_socket.is_open(); }                  // NOLINT: Asio's name
    void cancel(asio::error_code &error) { m_socket.cancel(error); }

    template <typename Handler>
    void async_read_some(asio::mutable_buffer buffer, Handler &&handler) // NOLINT: Asio's name
    {
        const auto executor = asio::get_associated_executor(handler, get_executor());
        m_readBuffer = buffer;
        m_socket.async_read_some(
            buffer,
            asio::bind_executor(
                executor,
                [this, buffer, account = m_account, handler = std::forward<Handler>(handler)](
                    const asio::error_code &error, std::size_t length) mutable {
                    const CurrentAccount scope(account);
                    m_hasEnded = bool(error);
                    if (error || !account)
                        return handler(error, length);
                    m_readLength = length;
                    account->received(static_cast<const char *>(buffer.data()), length);
                    if (account->isEvicted())
                        return handler(asio::error::connection_aborted, 0);
                    handler(error, length);
                }));
    }

    template <typename Buffers, typename Handler>
    void async_write_some(const Buffers &buffers, Handler &&handler) // NOLINT: Asio's name
    {
        const auto executor = asio::get_associated_executor(handler, get_executor());
        m_socket.async_write_some(
            buffers,
            asio::bind_executor(executor,
                                [account = m_account, handler = std::forward<Handler>(handler)](
                                    const asio::error_code &error, std::size_t length) mutable {
                                    const CurrentAccount scope(account);
                                    if (!error && account)
                                        account->responseProgressed();
                                    handler(error, length);
                                }));
    }

    /** RESTinio calls this before close(), also if it refuses a request. */
    void shutdown(Socket::shutdown_type what, asio::error_code &error)
    {
        const bool isCut = m_hasEnded || !m_account || m_account->isEvicted();
        if (!isCut && m_account->isInRequest() && refuse())
            return;
        m_socket.shutdown(what, error);
    }

    void close()
    {
        closeAccount();
        m_socket.close();
    }

private:
    /** Discards what a refused client sends, so that its system does not drop the response. */
    struct Remainder
    {
        Remainder(Socket from, RequestMemoryBudget::AccountHandle itsAccount)
            : socket(std::move(from))
            , account(std::move(itsAccount))
        {
        }
        ~Remainder() { account->close(); }

        static void discard(const std::shared_ptr<Remainder> &self)
        {
            self->socket.async_read_some(asio::buffer(self->bytes),
                                         [self](const asio::error_code &error, std::size_t) {
                                             if (!error && !self->account->isEvicted())
                                                 discard(self);
                                         });
        }

        Socket socket;
        RequestMemoryBudget::AccountHandle account;
        std::array<char, 4096> bytes{};
    };

    /**
     * Responds with 413 to a request whose announced body is over the limit. The response is
     * written directly: RESTinio closes such a connection without one.
     * @return false if the connection is to be closed without a response.
     */
    bool refuse()
    {
        m_account->countRefusal();
        if (!announcesTooMuch() || !m_account->beginRefusal())
            return false;
        const std::string body =
            fmt::format("{{\"outcome\":\"not-run\",\"error\":\"the body is above {} bytes\"}}\n",
                        m_limits.bodyBytes);
        const std::string response =
            fmt::format("HTTP/1.1 413 Payload Too Large\r\nConnection: close\r\n"
                        "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
                        body.size(), body);
        asio::error_code error;
        m_socket.non_blocking(true, error);
        m_socket.send(asio::buffer(response), 0, error);
        if (!error)
            m_socket.shutdown(Socket::shutdown_send, error);
        if (error)
            return false;
        Remainder::discard(
            std::make_shared<Remainder>(std::move(m_socket), std::exchange(m_account, nullptr)));
        return true;
    }

    /** @return true if the data that were read last name a length over the limit. */
    bool announcesTooMuch() const
    {
        constexpr std::string_view Name = "content-length:";
        const std::string_view text(static_cast<const char *>(m_readBuffer.data()),
                                    std::min(m_readLength, m_readBuffer.size()));
        const auto isSame = [](char left, char right) {
            return std::tolower(static_cast<unsigned char>(left)) == right;
        };
        const auto *found = std::search(text.begin(), text.end(), Name.begin(), Name.end(), isSame);
        if (found == text.end())
            return false;
        std::size_t length = 0;
        found += Name.size();
        while (found != text.end() && *found == ' ')
            ++found;
        for (; found != text.end() && *found >= '0' && *found <= '9'; ++found) {
            length = 10 * length + static_cast<std::size_t>(*found - '0');
            if (length > m_limits.bodyBytes)
                return true;
        }
        return false;
    }

    void closeAccount()
    {
        if (m_account)
            m_account->close();
    }

    Socket m_socket;
    SocketLimits m_limits;
    RequestMemoryBudget::AccountHandle m_account;
    /** Where the last read put its data; belongs to RESTinio's connection. */
    asio::mutable_buffer m_readBuffer;
    std::size_t m_readLength = 0;
    /** The last read failed, usually since the client has closed the connection. */
    bool m_hasEnded = false;
};

/** Called by RESTinio for each accepted connection; found by its argument's namespace. */
template <typename Connection, typename Start, typename Fail>
void prepare_connection_and_start_read( // NOLINT: RESTinio's name
    BudgetedSocket &socket, Connection &, Start start, Fail)
{
    socket.open();
    start();
}

inline restinio::impl::tls_socket_t *
make_tls_socket_pointer_for_state_listener(BudgetedSocket &) noexcept // NOLINT: RESTinio's name
{
    return nullptr;
}

} // namespace Cranberrymount

namespace restinio {

template <typename Settings>
class socket_type_dependent_settings_t<Settings, Cranberrymount::BudgetedSocket> // NOLINT
{
public:
    Settings &socketLimits(Cranberrymount::SocketLimits limits)
    {
        m_limits = std::move(limits);
        return static_cast<Settings &>(*this);
    }
    const Cranberrymount::SocketLimits &socketLimits() const { return m_limits; }

protected:
    ~socket_type_dependent_settings_t() noexcept = default;

private:
    Cranberrymount::SocketLimits m_limits;
};

namespace impl {

/** Sockets that a server's acceptor uses, see RESTinio's class for sockets with TLS. */
template <> class socket_supplier_t<Cranberrymount::BudgetedSocket> // NOLINT: RESTinio's name
{
protected:
    template <typename Settings> socket_supplier_t(Settings &settings, asio::io_context &context)
    {
        m_sockets.reserve(settings.concurrent_accepts_count());
        while (m_sockets.size() < settings.concurrent_accepts_count())
            m_sockets.emplace_back(context, settings.socketLimits());
    }
    virtual ~socket_supplier_t() = default;

    Cranberrymount::BudgetedSocket &socket(std::size_t index) { return m_sockets.at(index); }
    Cranberrymount::BudgetedSocket move_socket(std::size_t index) // NOLINT: RESTinio's name
    {
        return std::move(m_sockets.at(index));
    }
    std::size_t concurrent_accept_sockets_count() const noexcept // NOLINT: RESTinio's name
    {
        return m_sockets.size();
    }

private:
    std::vector<Cranberrymount::BudgetedSocket> m_sockets;
};

} // namespace impl

} // namespace restinio
