#include "entry/caller_identity.h"

#include "blackboard/board.h"

#include <doctest/doctest.h>
#include <httplib.h>

using namespace lagoonferry;

namespace {

std::optional<caller_identity> identify_with(const board& shared, const std::string& key, refusal& error)
{
    httplib::Request request;
    request.headers.emplace("Authorization", "Bearer " + key);
    return identify(request, {}, shared, error);
}

} // namespace

// An instance that has just started knows no key until it has read the documents. It must not respond 401 then: callers
// do not retry after a 401, and their program ends. This failed 2 of 130 runs of the process test "an owner that
// restarts at once ...".
TEST_CASE("an instance that has not read the documents refuses an unknown key as not run")
{
    board shared;
    refusal error;
    CHECK_FALSE(identify_with(shared, "some-key", error));
    CHECK(error.code == result_code::platform_unavailable);
    CHECK(error.retry_after_ms > 0);

    shared.documents.write(document_view{.services = {}, .accounts_by_digest = {}, .ready = true});
    CHECK_FALSE(identify_with(shared, "some-key", error));
    CHECK(error.code == result_code::unauthorized);
}
