#pragma once

#include "PortReservation.h"

#include <filesystem>
#include <string>

#include <sys/types.h>
#include <unistd.h>

namespace Cranberrymount {

/** A cranberrymount-cell process on loopback addresses that reaches neither a store nor peers. */
class CellProcess
{
public:
    /** Limits of the process, small enough for a small number of clients to exceed them. */
    struct Limits
    {
        std::size_t memoryMb = 64;
        std::size_t descriptors = 400;
        std::size_t bodyBytes = 65'536;
    };

    /** Starts the process and waits until it listens.
     * @throws std::runtime_error if it does not start */
    explicit CellProcess(const Limits &limits);
    /** Kills the process and removes its files. */
    ~CellProcess();

    CellProcess(const CellProcess &) = delete;
    CellProcess &operator=(const CellProcess &) = delete;

    uint16_t frontPort() const { return m_frontPort.port(); }
    uint16_t readinessPort() const { return m_readinessPort.port(); }
    uint16_t metricsPort() const { return m_metricsPort.port(); }
    uint16_t peerPort() const { return m_peerPort.port(); }

    bool isAlive() const;
    /** @return the resident memory of the process in bytes; 0 if it has ended. */
    std::size_t residentBytes() const;
    /** @return the number of descriptors that the process has open. */
    std::size_t descriptorCount() const;
    std::string log() const;

private:
    std::filesystem::path m_folder;
    PortReservation m_frontPort{static_cast<unsigned>(getpid())};
    PortReservation m_readinessPort{static_cast<unsigned>(getpid())};
    PortReservation m_peerPort{static_cast<unsigned>(getpid())};
    PortReservation m_metricsPort{static_cast<unsigned>(getpid())};
    /** Nothing listens here. */
    PortReservation m_storePort{static_cast<unsigned>(getpid())};
    pid_t m_process = 0;
};

} // namespace Cranberrymount
