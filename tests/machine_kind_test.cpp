// What processes tell each other, store, or must decide alike is the same on each kind of machine. The expected values
// come from an x86-64 machine.
#include "routing/route_table.h"

#include <doctest/doctest.h>

using namespace lagoonferry;

// With a fused multiplication and subtraction these keys would get the other service.
TEST_CASE("differing machines: turns of one program go to one service although its key is at the border of two")
{
    route thirds;
    thirds.services = {{"a", 0.3}, {"b", 0.6}, {"c", 0.1}};
    CHECK(choose_service(thirds, 0xe666666666666440U) == "b");
    route doubled;
    doubled.services = {{"a", 1}, {"b", 2}, {"c", 4}};
    CHECK(choose_service(doubled, 0x6db6db6db6db6a40U) == "c");
}
