#include "CellProcess.h"

#include "Deployment.h"

#include <array>
#include <csignal>
#include <fstream>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>

namespace Cranberrymount {

namespace {

constexpr Duration StartTimeout{10'000};

/** Lowers the number of descriptors for processes that are started during its lifetime. */
class DescriptorLimit
{
public:
    explicit DescriptorLimit(std::size_t count)
    {
        getrlimit(RLIMIT_NOFILE, &m_previous);
        const rlimit lowered{std::min<rlim_t>(count, m_previous.rlim_max), m_previous.rlim_max};
        setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~DescriptorLimit() { setrlimit(RLIMIT_NOFILE, &m_previous); }

    DescriptorLimit(const DescriptorLimit &) = delete;
    DescriptorLimit &operator=(const DescriptorLimit &) = delete;

private:
    rlimit m_previous{};
};

} // namespace

CellProcess::CellProcess(const Limits &limits)
{
    std::string folder = std::filesystem::temp_directory_path() / "cranberrymount-XXXXXX";
    if (!mkdtemp(folder.data()))
        throw std::runtime_error("cannot create a folder for the node's files");
    m_folder = folder;
    std::string settings = m_folder / "node.toml";
    const auto address = [](const PortReservation &port) {
        return "\"127.0.0.1:" + std::to_string(port.port()) + "\"\n";
    };
    std::ofstream(settings) << "[node]\nid = \"n\"\nzone = \"a\"\nmemory_mb = " << limits.memoryMb
                            << "\nmax_descriptors = " << limits.descriptors
                            << "\nmax_body_bytes = " << limits.bodyBytes
                            << "\nfront = " << address(m_frontPort)
                            << "readiness = " << address(m_readinessPort)
                            << "peer = " << address(m_peerPort)
                            << "metrics = " << address(m_metricsPort)
                            << "[platform]\nstore = " << address(m_storePort);
    std::string program = std::string(PROGRAM_FOLDER) + "/cranberrymount-cell";
    std::array<char *, 3> arguments{program.data(), settings.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, (m_folder / "node.log").c_str(),
                                     O_WRONLY | O_CREAT, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    int failure = 0;
    {
        const DescriptorLimit lowered(limits.descriptors);
        failure =
            posix_spawn(&m_process, program.c_str(), &actions, nullptr, arguments.data(), environ);
    }
    posix_spawn_file_actions_destroy(&actions);
    const auto hasStarted = [this] { return log().find("event=started") != std::string::npos; };
    if (failure != 0 || !eventually(hasStarted, StartTimeout))
        throw std::runtime_error("the node did not start: " + log());
}

CellProcess::~CellProcess()
{
    kill(m_process, SIGKILL);
    waitpid(m_process, nullptr, 0);
    std::filesystem::remove_all(m_folder);
}

bool CellProcess::isAlive() const
{
    siginfo_t state{};
    waitid(P_PID, static_cast<id_t>(m_process), &state, WEXITED | WNOHANG | WNOWAIT);
    return state.si_pid == 0;
}

std::size_t CellProcess::residentBytes() const
{
    std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
    constexpr std::string_view Key = "VmRSS:";
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(Key))
            return std::stoul(line.substr(Key.size())) * 1024;
    }
    return 0;
}

std::size_t CellProcess::descriptorCount() const
{
    std::error_code ignored;
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(m_process) + "/fd",
                                                    ignored);
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

std::string CellProcess::log() const
{
    std::ifstream stream(m_folder / "node.log");
    return {std::istreambuf_iterator<char>(stream), {}};
}

} // namespace Cranberrymount
