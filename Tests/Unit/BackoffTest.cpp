#include "State/Time.h"

#include <catch2/catch.hpp>

using namespace Cranberrymount;

TEST_CASE("Backoff doubles with each failure up to its maximum", "[time]")
{
    constexpr Duration First(50);
    constexpr Duration Maximum(400);
    CHECK(exponentialBackoff(First, 0, Maximum) == First);
    CHECK(exponentialBackoff(First, 1, Maximum) == 2 * First);
    CHECK(exponentialBackoff(First, 2, Maximum) == 4 * First);
    CHECK(exponentialBackoff(First, 3, Maximum) == Maximum);
    CHECK(exponentialBackoff(First, UINT32_MAX, Maximum) == Maximum);
}
