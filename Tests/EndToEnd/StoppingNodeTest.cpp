// A node of a cell that stops must answer the calls that it has read.

#include "Deployment.h"

#include "Coordination/PeerHub.h"
#include "Transport/AsioTimerService.h"

#include <asio.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <list>
#include <mutex>
#include <thread>

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace Cranberrymount;
using Socket = asio::ip::tcp::socket;

namespace {

/** Time between the signal that stops the node and the kill. */
constexpr Duration StopGrace{4000};
/** Callers count a request as lost if its connection ends without an answer after this time. */
constexpr Duration LossSlack{200};
constexpr Duration RequestInterval{40};
constexpr Duration StartTimeout{10'000};
const std::string Loopback = "127.0.0.1";

/** Leads the node under test and never answers the calls that the node passes on. */
class SilentLeader
{
public:
    /** @param node the address at which the node listens for its peers */
    SilentLeader(uint16_t port, const Endpoint &node)
    {
        const Endpoint address{Loopback, port};
        PeerHub::Handlers handlers;
        handlers.clientCall = [this](const ClientCall &, ClientResponder respond) {
            m_held.push_back(std::move(respond));
            ++m_callCount;
        };
        handlers.followerJoined = [this](const EntryId &) { m_hasFollower = true; };
        handlers.followerLeft = [](const EntryId &) {};
        m_hub = std::make_unique<PeerHub>(m_context, m_timers,
                                          HelloMessage{EntryId("leader"), CpuMillis(1000), {}},
                                          address, std::move(handlers));
        m_hub->announce(node, {Revision(1), EntryId("leader"), address});
        beat();
        m_thread = std::thread([this] { m_context.run(); });
    }
    /** Breaks the link to the node. */
    ~SilentLeader()
    {
        m_context.stop();
        m_thread.join();
    }

    SilentLeader(const SilentLeader &) = delete;
    SilentLeader &operator=(const SilentLeader &) = delete;

    bool hasFollower() const { return m_hasFollower; }
    std::size_t callCount() const { return m_callCount; }

private:
    void beat()
    {
        m_hub->broadcast({Revision(1), Duration(0), true});
        m_timers.after(Duration(100), [this] { beat(); });
    }

    asio::io_context m_context{1};
    AsioTimerService m_timers{m_context};
    std::vector<ClientResponder> m_held;
    std::atomic<std::size_t> m_callCount = 0;
    std::atomic<bool> m_hasFollower = false;
    std::unique_ptr<PeerHub> m_hub;
    std::thread m_thread;
};

/** One client's connection to the node with at most one request on it. */
struct Client
{
    Socket socket;
    Instant sentAt{};
    bool hasSent = false;
    std::string response;
};

/** A node of a cell whose store cannot be reached; its leader is part of the test. */
class StoppingNodeFixture
{
protected:
    StoppingNodeFixture()
    {
        std::string folder = std::filesystem::temp_directory_path() / "cranberrymount-XXXXXX";
        REQUIRE(mkdtemp(folder.data()));
        m_folder = folder;
        startNode();
        m_leader = std::make_unique<SilentLeader>(m_leaderPort.port(),
                                                  Endpoint{Loopback, m_peerPort.port()});
        REQUIRE(eventually([this] { return m_leader->hasFollower(); }));
        // The node has read a heartbeat once it passes a call on.
        REQUIRE(eventually([this] { return passesCallsOn(); }));
    }

    ~StoppingNodeFixture()
    {
        if (m_process > 0) {
            kill(m_process, SIGKILL);
            waitpid(m_process, nullptr, 0);
        }
        std::filesystem::remove_all(m_folder);
    }

    Client &connect()
    {
        Client &client = m_clients.emplace_back(Client{Socket(m_context), {}, false, {}});
        client.socket.connect({asio::ip::make_address(Loopback), m_frontPort.port()});
        return client;
    }

    /** Sends a whole request; a closed connection is no error. */
    static void send(Client &client, const std::string &method)
    {
        const std::string body = method == "POST" ? R"({"spec":"x","steps":[{"count":1}]})" : "";
        asio::error_code error;
        client.sentAt = now();
        asio::write(client.socket,
                    asio::buffer(method + " /queue/0123456789abcdef HTTP/1.1\r\nHost: cell\r\n"
                                 + "X-Deadline-Ms: 60000\r\nContent-Length: "
                                 + std::to_string(body.size()) + "\r\n\r\n" + body),
                    error);
        client.hasSent = !error;
    }

    /** Reads what the node sends until it closes the connection. */
    static void readAll(Client &client)
    {
        asio::error_code error;
        asio::read(client.socket, asio::dynamic_buffer(client.response), error);
    }

    static Instant now() { return std::chrono::steady_clock::now(); }

    void stopNode()
    {
        kill(m_process, SIGTERM);
        m_signalledAt = now();
    }

    bool hasEnded()
    {
        if (m_process > 0 && waitpid(m_process, nullptr, WNOHANG) == m_process) {
            m_process = 0;
            m_endedAt = now();
        }
        return m_process == 0;
    }

    std::string log() const
    {
        std::ifstream stream(m_folder / "node.log");
        return {std::istreambuf_iterator<char>(stream), {}};
    }

    /** Outlives the clients' sockets. */
    asio::io_context m_context;
    std::list<Client> m_clients;
    std::unique_ptr<SilentLeader> m_leader;
    Instant m_signalledAt{};
    Instant m_endedAt{};

private:
    void startNode()
    {
        const std::string settings = m_folder / "node.toml";
        const auto address = [](const PortReservation &port) {
            return "\"" + Loopback + ":" + std::to_string(port.port()) + "\"\n";
        };
        std::ofstream(settings) << "[node]\nid = \"n\"\nzone = \"a\"\nfront = "
                                << address(m_frontPort)
                                << "readiness = " << address(m_readinessPort)
                                << "peer = " << address(m_peerPort)
                                << "metrics = " << address(m_metricsPort)
                                << "[platform]\nstore = " << address(m_storePort)
                                << "[timing]\nstop_grace_s = " << StopGrace.count() / 1000 << "\n";
        std::string program = std::string(PROGRAM_FOLDER) + "/cranberrymount-cell";
        std::string option = settings;
        std::array<char *, 3> arguments{program.data(), option.data(), nullptr};
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, 1, (m_folder / "node.log").c_str(),
                                         O_WRONLY | O_CREAT, 0644);
        posix_spawn_file_actions_adddup2(&actions, 1, 2);
        const int failure =
            posix_spawn(&m_process, program.c_str(), &actions, nullptr, arguments.data(), environ);
        posix_spawn_file_actions_destroy(&actions);
        REQUIRE(failure == 0);
        REQUIRE(eventually([this] { return log().find("event=started") != std::string::npos; },
                           StartTimeout));
    }

    bool passesCallsOn()
    {
        send(connect(), "GET");
        std::this_thread::sleep_for(RequestInterval);
        return m_leader->callCount() > 0;
    }

    std::filesystem::path m_folder;
    PortReservation m_frontPort{static_cast<unsigned>(getpid())};
    PortReservation m_readinessPort{static_cast<unsigned>(getpid())};
    PortReservation m_peerPort{static_cast<unsigned>(getpid())};
    PortReservation m_metricsPort{static_cast<unsigned>(getpid())};
    PortReservation m_leaderPort{static_cast<unsigned>(getpid())};
    /** Nothing listens here. */
    PortReservation m_storePort{static_cast<unsigned>(getpid())};
    pid_t m_process = 0;
};

bool isWhole(const std::string &response)
{
    const std::size_t body = response.find("\r\n\r\n");
    const std::size_t length = response.find("Content-Length: ");
    return body != std::string::npos && length < body
        && response.size() == body + 4 + std::stoul(response.substr(length + 16));
}

bool saysConnectionCloses(const std::string &response)
{
    return response.find("Connection: close") != std::string::npos;
}

} // namespace

// LOST: calls that the leader had not answered ended with a closed connection.
TEST_CASE_METHOD(StoppingNodeFixture,
                 "Stopping node answers the calls that its leader does not answer",
                 "[path][shutdown]")
{
    const std::string method = GENERATE("POST", "GET");
    const std::size_t earlier = m_leader->callCount();
    constexpr std::size_t CallCount = 40;
    for (std::size_t number = 0; number < CallCount; ++number)
        send(connect(), method);
    REQUIRE(eventually([&] { return m_leader->callCount() == earlier + CallCount; }));
    stopNode();
    CHECK(eventually([this] { return hasEnded(); }, StopGrace));
    // Clients that read only now get whole answers, too.
    for (Client &client : m_clients) {
        readAll(client);
        CHECK(isWhole(client.response));
        CHECK(saysConnectionCloses(client.response));
    }
    // Only a submission may have run.
    CHECK(
        m_clients.back().response.starts_with(method == "POST" ? "HTTP/1.1 504" : "HTTP/1.1 503"));
    CAPTURE(log());
    CHECK(log().find("event=shutdown_ended") != std::string::npos);
    CHECK(log().find(" left=0\n") != std::string::npos);
}

// LOST: requests that came shortly before the end waited for a leader until their connection
// closed.
TEST_CASE_METHOD(StoppingNodeFixture,
                 "Stopping node that loses its leader answers each request that it reads",
                 "[path][shutdown]")
{
    const Duration leaderLostAfter = GENERATE(Duration(0), Duration(1000), Duration(2400));
    // Keeps the node from ending early.
    send(connect(), "POST");
    constexpr std::size_t ClientCount = 100;
    for (std::size_t number = 0; number < ClientCount; ++number)
        connect();
    auto next = std::prev(m_clients.end(), ClientCount);
    stopNode();
    while (!hasEnded() && next != m_clients.end()) {
        if (now() >= m_signalledAt + leaderLostAfter)
            m_leader.reset();
        send(*next++, "GET");
        std::this_thread::sleep_for(RequestInterval);
    }
    CHECK(hasEnded());
    CHECK(m_endedAt - m_signalledAt < StopGrace);
    for (Client &client : m_clients) {
        if (!client.hasSent)
            continue;
        readAll(client);
        const bool wasSentAtTheEnd = m_endedAt - client.sentAt < LossSlack;
        if (client.response.empty() && wasSentAtTheEnd)
            continue;
        CHECK(isWhole(client.response));
        CHECK(saysConnectionCloses(client.response));
    }
}
