#include "PortReservation.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

namespace Cranberrymount {

namespace {

constexpr unsigned PortCount = 4096;
constexpr unsigned FirstUnprivilegedPort = 1024;

/** @return the first port of the range, which ends where the kernel's range starts. */
unsigned firstPort()
{
    unsigned firstOfKernel = 0;
    std::ifstream("/proc/sys/net/ipv4/ip_local_port_range") >> firstOfKernel;
    if (firstOfKernel < FirstUnprivilegedPort + PortCount)
        throw std::runtime_error("too few ports below those that the kernel chooses from");
    return firstOfKernel - PortCount;
}

bool isFree(uint16_t port)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, asio::ip::tcp::v4());
    asio::error_code error;
    acceptor.bind({asio::ip::make_address("127.0.0.1"), port}, error);
    return !error;
}

} // namespace

PortReservation::PortReservation(unsigned start)
{
    const unsigned first = firstPort();
    const auto folder = std::filesystem::temp_directory_path() / "cranberrymount-ports";
    std::filesystem::create_directories(folder);
    for (unsigned number = 0; number < PortCount; ++number) {
        m_port = static_cast<uint16_t>(first + (start - first + number) % PortCount);
        const std::string path = folder / std::to_string(m_port);
        // Processes that a test starts must not inherit the lock.
        m_file = open(path.c_str(), O_RDONLY | O_CREAT | O_CLOEXEC, 0666);
        if (m_file < 0)
            throw std::runtime_error("cannot open " + path);
        if (flock(m_file, LOCK_EX | LOCK_NB) == 0 && isFree(m_port))
            return;
        close(m_file);
    }
    throw std::runtime_error("no free port below those that the kernel chooses from");
}

PortReservation::~PortReservation()
{
    close(m_file);
}

} // namespace Cranberrymount
