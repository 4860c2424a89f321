#pragma once

#include "State/Time.h"
#include "State/Worker.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <array>
#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace Cranberrymount {

/** Bytes of one frame, without its length prefix. */
using Frame = std::string;

/**
 * One TCP connection that carries frames: a 32-bit little-endian length, then that many bytes.
 *
 * All callbacks run on the context's threads, one at a time for each link.
 */
class FrameLink : public std::enable_shared_from_this<FrameLink>
{
public:
    using FrameHandler = std::function<void(const std::shared_ptr<FrameLink> &, Frame)>;
    using CloseHandler = std::function<void(const std::shared_ptr<FrameLink> &)>;

    explicit FrameLink(asio::ip::tcp::socket socket);

    void start(FrameHandler onFrame, CloseHandler onClose);
    /** Queues @p frame; it is dropped if the link is closed. */
    void send(Frame frame);
    void close();
    /** @return when the last whole frame arrived, or when the link was opened. */
    Instant lastReceived() const { return m_lastReceived; }

private:
    void readSome();
    /** Hands on the whole frames among what was received. */
    void deliverFrames();
    /** Writes all frames that are queued. */
    void writeQueued();
    void closeAndNotify();

    asio::ip::tcp::socket m_socket;
    FrameHandler m_onFrame;
    CloseHandler m_onClose;
    static constexpr std::size_t ChunkBytes = 16'384;
    std::array<char, ChunkBytes> m_chunk{};
    std::string m_received;
    std::deque<Frame> m_outgoing;
    bool m_isWriting = false;
    bool m_closed = false;
    std::atomic<Instant> m_lastReceived = std::chrono::steady_clock::now();
};

/** Accepts links on one address. */
class FrameListener
{
public:
    using AcceptHandler = std::function<void(std::shared_ptr<FrameLink>)>;

    /** @throws TransportError if the address cannot be bound. */
    FrameListener(asio::io_context &context, const Endpoint &address, AcceptHandler onAccept);

private:
    void acceptNext();

    asio::io_context &m_context;
    asio::ip::tcp::acceptor m_acceptor;
    AcceptHandler m_onAccept;
};

/** Opens a link to @p address; @p done gets null if that fails within @p timeout. */
void connectFrameLink(asio::io_context &context, const Endpoint &address, Duration timeout,
                      std::function<void(std::shared_ptr<FrameLink>)> done);

} // namespace Cranberrymount
