#pragma once

#include <cstdint>

namespace Cranberrymount {

/**
 * A TCP port of 127.0.0.1 that no other test process chooses as long as this object exists; a
 * process can listen on it, end, and listen again. The port is below those that the kernel chooses
 * from, so no outgoing connection takes it. A locked file in the temporary folder marks it; the
 * file stays, since removing it would let two processes lock two files of one name.
 */
class PortReservation
{
public:
    /**
     * Reserves a port on which nobody listens.
     * @param start the port at which the search starts, modulo the size of the range.
     * @throws std::runtime_error if all ports of the range are taken or a file cannot be opened.
     */
    explicit PortReservation(unsigned start);
    ~PortReservation();

    PortReservation(const PortReservation &) = delete;
    PortReservation &operator=(const PortReservation &) = delete;

    uint16_t port() const { return m_port; }

private:
    uint16_t m_port = 0;
    /** Descriptor of the locked file. */
    int m_file = -1;
};

} // namespace Cranberrymount
