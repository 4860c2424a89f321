#include "Protocol/JournalCodec.h"
#include "Protocol/ProtocolError.h"
#include "Transport/FrameLink.h"
#include "Transport/TransportError.h"

#include <asio/connect.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <random>

using namespace Cranberrymount;

namespace {

/** Two ends of a link over the loopback interface. */
class LinkFixture
{
protected:
    LinkFixture()
    {
        asio::ip::tcp::acceptor acceptor(
            m_context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        asio::ip::tcp::socket near(m_context);
        near.connect(acceptor.local_endpoint());
        m_far = std::make_shared<FrameLink>(acceptor.accept());
        m_near = std::make_shared<FrameLink>(std::move(near));
        start(m_near, m_nearFrames);
        start(m_far, m_farFrames);
    }

    void start(const std::shared_ptr<FrameLink> &link, std::vector<Frame> &frames)
    {
        link->start([&frames](const std::shared_ptr<FrameLink> &,
                              Frame frame) { frames.push_back(std::move(frame)); },
                    [this](const std::shared_ptr<FrameLink> &) { ++m_closedCount; });
    }

    void run() { m_context.run_for(std::chrono::milliseconds(200)); }

    asio::io_context m_context{1};
    std::shared_ptr<FrameLink> m_near;
    std::shared_ptr<FrameLink> m_far;
    std::vector<Frame> m_nearFrames;
    std::vector<Frame> m_farFrames;
    int m_closedCount = 0;
};

std::string randomBytes(std::size_t size)
{
    std::mt19937 random(7);
    std::string bytes(size, '\0');
    for (char &byte : bytes)
        byte = static_cast<char>(random());
    return bytes;
}

} // namespace

TEST_CASE_METHOD(LinkFixture, "Compressed link delivers all frames in order in both directions",
                 "[compression]")
{
    std::vector<Frame> sent{"plain", ""};
    m_near->send(sent[0]);
    m_near->send(sent[1]);
    run();
    m_near->enableCompression();
    for (int index = 0; index < 200; ++index)
        sent.push_back(fmt::format("start task 5c0e7a21d94b36f8.0.1.{} with payload", index));
    sent.push_back(randomBytes(3'000'000));
    sent.push_back(randomBytes(2'000'000));
    sent.emplace_back("last");
    for (std::size_t index = 2; index < sent.size(); ++index)
        m_near->send(sent[index]);
    m_context.restart();
    run();
    CHECK(m_farFrames == sent);
    // The far end compresses its replies without being told to.
    m_far->send("reply");
    m_context.restart();
    run();
    CHECK(m_nearFrames == std::vector<Frame>{"reply"});
    CHECK(m_closedCount == 0);
}

TEST_CASE_METHOD(LinkFixture, "Link with a part that cannot be decompressed is closed",
                 "[compression]")
{
    asio::ip::tcp::acceptor acceptor(m_context,
                                     asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    asio::ip::tcp::socket sender(m_context);
    sender.connect(acceptor.local_endpoint());
    const auto receiver = std::make_shared<FrameLink>(acceptor.accept());
    std::vector<Frame> frames;
    start(receiver, frames);
    // A prefix of a compressed part of 5 bytes, and bytes that are no such part.
    const std::string rubbish("\x05\x00\x00\x80rubbi", 9);
    sender.send(asio::buffer(rubbish));
    run();
    CHECK(frames.empty());
    CHECK(m_closedCount == 1);
}

TEST_CASE("Compressed messages that repeat are small and limited in size", "[compression]")
{
    StreamCompressor compressor;
    StreamDecompressor decompressor;
    const std::string message = "{\"task\":\"5c0e7a21d94b36f8.0.1.17\"}" + randomBytes(500);
    for (int repetition = 0; repetition < 10; ++repetition) {
        const std::string part = compressor.compress(message);
        CHECK((repetition == 0 || part.size() < message.size() / 5));
        CHECK(decompressor.decompress(part, 10'000) == message);
    }
    const std::string bomb = compressor.compress(std::string(1'000'000, 'x'));
    CHECK(bomb.size() < 10'000);
    CHECK_THROWS_AS(decompressor.decompress(bomb, 100'000), TransportError);
}

TEST_CASE("Stored segment is read whether compressed or not, and rubbish is refused",
          "[compression]")
{
    std::vector<JournalRecord> records;
    for (uint32_t index = 0; index < 100; ++index)
        records.emplace_back(RunAssigned{
            {JobId("5c0e7a21d94b36f8"), 0, 1, index}, 1, {WorkerId("i-24fbe1e91e"), 1}});
    const std::string plain = encodeJournal(records);
    const std::string stored = encodeSegment({records, Revision(7), 5});
    CHECK(stored.size() < plain.size() / 3);
    CHECK(decodeSegment(stored).records.size() == 100);
    CHECK(decodeSegment(stored).claim == Revision(7));
    CHECK(decodeSegment(stored).floor == 5);
    CHECK(encodeJournal(decodeSegment(stored).records) == plain);
    CHECK(encodeJournal(decodeSegment(plain).records) == plain);
    CHECK_THROWS_AS(decodeSegment(stored.substr(0, stored.size() / 2)), ProtocolError);
    CHECK_THROWS_AS(decodeSegment("rubbish"), ProtocolError);
    CHECK_THROWS_AS(decodeSegment(""), ProtocolError);
}
