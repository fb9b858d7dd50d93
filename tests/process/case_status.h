#pragma once

namespace lagoonferry::test {

/// Returns whether an assertion of the running test case has failed. Thread-safe.
bool case_has_failed();

} // namespace lagoonferry::test
