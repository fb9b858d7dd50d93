#include "util/digest.h"
#include "util/result_code.h"

#include <doctest/doctest.h>

using namespace lagoonferry;

TEST_CASE("different inputs have different digests, and secrets compare by content")
{
    CHECK(digest_hex("a").size() == 64);
    CHECK(digest_hex("a") != digest_hex("b"));
    CHECK(random_hex(12) != random_hex(12));
    CHECK(equal_constant_time("key", "key"));
    CHECK_FALSE(equal_constant_time("key", "kez"));
    CHECK_FALSE(equal_constant_time("key", "key2"));
}

TEST_CASE("result codes have names and HTTP statuses")
{
    CHECK(to_string(result_code::moved) == "moved");
    CHECK(http_status(result_code::overloaded) == 429);
    CHECK(to_string(execution_state::not_run) == "not_run");
}
