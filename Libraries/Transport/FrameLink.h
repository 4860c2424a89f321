#pragma once

#include "State/Time.h"
#include "State/Worker.h"
#include "Transport/BootClock.h"
#include "Transport/StreamCompressor.h"
#include "Transport/StreamDecompressor.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Cranberrymount {

/** Bytes of one frame, without its length prefix. */
using Frame = std::string;

/**
 * One TCP connection that carries frames: a 32-bit little-endian length, then that many bytes.
 *
 * A length with the highest bit set begins a part of a compressed stream, which holds whole frames.
 * Either side may begin such a stream; the other side then compresses what it sends, too.
 *
 * All callbacks run on the context's threads, and never two callbacks of one link at a time.
 */
class FrameLink : public std::enable_shared_from_this<FrameLink>
{
public:
    using FrameHandler = std::function<void(const std::shared_ptr<FrameLink> &, Frame)>;
    using CloseHandler = std::function<void(const std::shared_ptr<FrameLink> &)>;

    explicit FrameLink(asio::ip::tcp::socket socket);

    /**
     * Starts receiving frames.
     * @param onFrame is called for each whole frame.
     * @param onClose is called once, when the link is closed by either side or by an error.
     */
    void start(FrameHandler onFrame, CloseHandler onClose);
    /** Queues @p frame; drops it if the link is closed. Too long a queue closes the link. */
    void send(Frame frame);
    /**
     * Closes the link when it receives a frame of more than @p bytes, or a compressed one, until
     * liftFrameLimit() is called. Must be called before start().
     */
    void limitFrames(std::size_t bytes) { m_frameLimit = bytes; }
    /** Receives frames of any size up to what all links allow. Must be called by the handler of a
     * frame of this link. */
    void liftFrameLimit() { m_frameLimit.reset(); }
    /** Compresses all frames sent from now on; the peer must understand compressed frames. */
    void enableCompression();
    void close();
    /** @return when the last whole frame arrived; before the first one, when the link was opened.
     */
    Instant lastReceived() const { return m_lastReceived; }

private:
    void readSome();
    /** Passes all whole frames in @p bytes to the frame handler and removes them. */
    void deliverFrames(std::string &bytes, bool isDecompressed);
    /** Decompresses a part of the peer's stream and passes its frames to the frame handler. */
    void deliverCompressed(std::string_view part);
    /** Replaces the queued frames by compressed parts; a part ends after whole frames. */
    void compressQueued();
    /** Writes all queued frames. */
    void writeQueued();
    /** Closes the socket and calls the close handler; does nothing if already closed. */
    void closeAndNotify();

    asio::ip::tcp::socket m_socket;
    FrameHandler m_onFrame;
    CloseHandler m_onClose;
    static constexpr std::size_t ChunkBytes = 16'384;
    std::array<char, ChunkBytes> m_chunk{};
    std::string m_received;
    std::deque<Frame> m_outgoing;
    /** Null if what is sent is not compressed. */
    std::unique_ptr<StreamCompressor> m_compressor;
    /** Null until the peer sends a compressed part. */
    std::unique_ptr<StreamDecompressor> m_decompressor;
    /** Limit on the frames of a peer that is not known yet. */
    std::optional<std::size_t> m_frameLimit;
    bool m_isWriting = false;
    bool m_closed = false;
    std::atomic<Instant> m_lastReceived = bootInstant();
};

/** Listens on one address and accepts links. */
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
    asio::steady_timer m_retryTimer;
    AcceptHandler m_onAccept;
};

/**
 * Opens a link to @p address.
 * @param done gets the link, or null if the connection fails or is not open after @p timeout.
 */
void connectFrameLink(asio::io_context &context, const Endpoint &address, Duration timeout,
                      std::function<void(std::shared_ptr<FrameLink>)> done);

} // namespace Cranberrymount
