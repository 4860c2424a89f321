#include "PortReservation.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <optional>

using namespace Cranberrymount;

TEST_CASE("Two reservations never have the same port", "[ports]")
{
    // The lock belongs to the opened file, not to the process, so this is as for two processes.
    const PortReservation first(0);
    const PortReservation second(first.port());
    const PortReservation third(0);
    CHECK(first.port() != second.port());
    CHECK(first.port() != third.port());
    CHECK(second.port() != third.port());
}

TEST_CASE("Port on which another process listens is not reserved", "[ports]")
{
    std::optional<PortReservation> reservation(0);
    const uint16_t taken = reservation->port();
    asio::io_context context;
    const asio::ip::tcp::acceptor listener(context, {asio::ip::make_address("127.0.0.1"), taken});
    reservation.reset();
    CHECK(PortReservation(taken).port() != taken);
}
