#include "Transport/FrameLink.h"

#include "Transport/TransportError.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <asio/write.hpp>
#include <glog/logging.h>

#include <vector>

namespace Cranberrymount {

namespace {

constexpr uint32_t MaxFrameBytes = 4 * 1024 * 1024;
constexpr std::size_t PrefixBytes = sizeof(uint32_t);
constexpr std::size_t MaxQueuedFrames = 20'000;
/** An accept without a free descriptor fails at once, and would do so again. */
constexpr std::chrono::milliseconds AcceptRetryDelay{50};

/** Set in the length prefix of a part of a compressed stream. */
constexpr uint32_t CompressedFlag = 0x80000000U;
/** Size from which no further frame is added to a compressed part, plus the last frame. */
constexpr std::size_t MaxPartBytes = std::size_t(2) * (MaxFrameBytes + 64);

Frame withPrefix(const Frame &frame, uint32_t flags = 0)
{
    const uint32_t length = static_cast<uint32_t>(frame.size()) | flags;
    Frame prefixed;
    prefixed.reserve(PrefixBytes + frame.size());
    for (std::size_t byte = 0; byte < PrefixBytes; ++byte)
        prefixed.push_back(static_cast<char>((length >> (8 * byte)) & 0xffU));
    prefixed.append(frame);
    return prefixed;
}

uint32_t readPrefix(const char *bytes)
{
    uint32_t length = 0;
    for (std::size_t byte = 0; byte < PrefixBytes; ++byte)
        length |= uint32_t(static_cast<unsigned char>(bytes[byte])) << (8 * byte);
    return length;
}

} // namespace

FrameLink::FrameLink(asio::ip::tcp::socket socket)
    : m_socket(std::move(socket))
{
    asio::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void FrameLink::start(FrameHandler onFrame, CloseHandler onClose)
{
    asio::dispatch(m_socket.get_executor(),
                   [self = shared_from_this(), onFrame = std::move(onFrame),
                    onClose = std::move(onClose)]() mutable {
                       self->m_onFrame = std::move(onFrame);
                       self->m_onClose = std::move(onClose);
                       self->readSome();
                   });
}

void FrameLink::send(Frame frame)
{
    asio::dispatch(m_socket.get_executor(), [self = shared_from_this(), frame = std::move(frame)] {
        if (self->m_closed)
            return;
        self->m_outgoing.push_back(withPrefix(frame));
        if (self->m_outgoing.size() > MaxQueuedFrames)
            self->closeAndNotify();
        else if (self->m_outgoing.size() == 1 && !self->m_isWriting)
            // Frames that are sent in the same iteration of the event loop share one write.
            asio::post(self->m_socket.get_executor(), [self] {
                if (!self->m_closed)
                    self->writeQueued();
            });
    });
}

void FrameLink::close()
{
    asio::dispatch(m_socket.get_executor(),
                   [self = shared_from_this()] { self->closeAndNotify(); });
}

void FrameLink::readSome()
{
    m_socket.async_read_some(
        asio::buffer(m_chunk),
        [self = shared_from_this()](const asio::error_code &error, std::size_t length) {
            if (error)
                return self->closeAndNotify();
            self->m_received.append(self->m_chunk.data(), length);
            self->deliverFrames(self->m_received, false);
            if (!self->m_closed)
                self->readSome();
        });
}

void FrameLink::deliverFrames(std::string &bytes, bool isDecompressed)
{
    std::size_t position = 0;
    while (bytes.size() - position >= PrefixBytes) {
        const uint32_t prefix = readPrefix(bytes.data() + position);
        const bool isCompressed = (prefix & CompressedFlag) != 0;
        const uint32_t length = prefix & ~CompressedFlag;
        if (length > (isCompressed ? MaxPartBytes : MaxFrameBytes)
            || (isCompressed && isDecompressed))
            return closeAndNotify();
        if (m_frameLimit && (isCompressed || length > *m_frameLimit))
            return closeAndNotify();
        if (bytes.size() - position - PrefixBytes < length)
            break;
        m_lastReceived = bootInstant();
        Frame frame = bytes.substr(position + PrefixBytes, length);
        position += PrefixBytes + length;
        if (isCompressed)
            deliverCompressed(frame);
        else
            m_onFrame(shared_from_this(), std::move(frame));
        if (m_closed)
            return;
    }
    bytes.erase(0, position);
}

void FrameLink::deliverCompressed(std::string_view part)
{
    try {
        if (!m_decompressor)
            m_decompressor = std::make_unique<StreamDecompressor>();
        enableCompression();
        std::string bytes = m_decompressor->decompress(part, MaxPartBytes);
        deliverFrames(bytes, true);
        if (m_closed || bytes.empty())
            return;
        LOG(WARNING) << "event=peer_stream_unreadable error=\"a compressed part ends in a frame\"";
    } catch (const TransportError &error) {
        LOG(WARNING) << "event=peer_stream_unreadable error=\"" << error.what() << "\"";
    }
    closeAndNotify();
}

void FrameLink::enableCompression()
{
    asio::dispatch(m_socket.get_executor(), [self = shared_from_this()] {
        if (!self->m_compressor)
            self->m_compressor = std::make_unique<StreamCompressor>();
    });
}

void FrameLink::compressQueued()
{
    std::deque<Frame> parts;
    std::string content;
    while (!m_outgoing.empty()) {
        content += m_outgoing.front();
        m_outgoing.pop_front();
        if (content.size() < MaxFrameBytes && !m_outgoing.empty())
            continue;
        parts.push_back(withPrefix(m_compressor->compress(content), CompressedFlag));
        content.clear();
    }
    m_outgoing = std::move(parts);
}

void FrameLink::writeQueued()
{
    m_isWriting = true;
    if (m_compressor)
        compressQueued();
    std::vector<asio::const_buffer> buffers;
    for (const Frame &frame : m_outgoing)
        buffers.push_back(asio::buffer(frame));
    asio::async_write(m_socket, buffers,
                      [self = shared_from_this(),
                       count = buffers.size()](const asio::error_code &error, std::size_t) {
                          self->m_isWriting = false;
                          if (error)
                              return self->closeAndNotify();
                          self->m_outgoing.erase(self->m_outgoing.begin(),
                                                 self->m_outgoing.begin()
                                                     + static_cast<std::ptrdiff_t>(count));
                          if (!self->m_outgoing.empty())
                              self->writeQueued();
                      });
}

void FrameLink::closeAndNotify()
{
    if (m_closed)
        return;
    m_closed = true;
    asio::error_code ignored;
    m_socket.close(ignored);
    if (m_onClose)
        m_onClose(shared_from_this());
}

FrameListener::FrameListener(asio::io_context &context, const Endpoint &address,
                             AcceptHandler onAccept)
    : m_context(context)
    , m_acceptor(context)
    , m_retryTimer(context)
    , m_onAccept(std::move(onAccept))
{
    try {
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
    } catch (const std::exception &error) {
        throw TransportError("cannot listen on " + address.text() + ": " + error.what());
    }
    acceptNext();
}

void FrameListener::acceptNext()
{
    m_acceptor.async_accept(asio::make_strand(m_context),
                            [this](const asio::error_code &error, asio::ip::tcp::socket socket) {
                                if (error == asio::error::operation_aborted)
                                    return;
                                if (!error) {
                                    m_onAccept(std::make_shared<FrameLink>(std::move(socket)));
                                    return acceptNext();
                                }
                                m_retryTimer.expires_after(AcceptRetryDelay);
                                m_retryTimer.async_wait([this](const asio::error_code &aborted) {
                                    if (!aborted)
                                        acceptNext();
                                });
                            });
}

void connectFrameLink(asio::io_context &context, const Endpoint &address, Duration timeout,
                      std::function<void(std::shared_ptr<FrameLink>)> done)
{
    asio::error_code addressError;
    const auto ip = asio::ip::make_address(address.host, addressError);
    if (addressError)
        return done(nullptr);
    const auto strand = asio::make_strand(context);
    auto socket = std::make_shared<asio::ip::tcp::socket>(strand);
    auto timer = std::make_shared<asio::steady_timer>(strand, timeout);
    timer->async_wait([socket, timer](const asio::error_code &error) {
        asio::error_code ignored;
        if (!error)
            socket->close(ignored);
    });
    socket->async_connect(asio::ip::tcp::endpoint(ip, address.port),
                          [socket, timer, done = std::move(done)](const asio::error_code &error) {
                              timer->cancel();
                              if (error || !socket->is_open())
                                  return done(nullptr);
                              done(std::make_shared<FrameLink>(std::move(*socket)));
                          });
}

} // namespace Cranberrymount
