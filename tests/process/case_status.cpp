#include "case_status.h"

#include <doctest/doctest.h>

#include <atomic>

namespace lagoonferry::test {

namespace {

std::atomic<bool> failed = false;

/// Records whether an assertion of the running test case has failed.
class status_listener : public doctest::IReporter {
public:
    explicit status_listener(const doctest::ContextOptions& /*options*/) {}

    void report_query(const doctest::QueryData& /*data*/) override {}
    void test_run_start() override {}
    void test_run_end(const doctest::TestRunStats& /*stats*/) override {}
    void test_case_start(const doctest::TestCaseData& /*data*/) override { failed = false; }
    void test_case_reenter(const doctest::TestCaseData& /*data*/) override {}
    void test_case_end(const doctest::CurrentTestCaseStats& /*stats*/) override {}
    void test_case_exception(const doctest::TestCaseException& /*data*/) override { failed = true; }
    void subcase_start(const doctest::SubcaseSignature& /*data*/) override {}
    void subcase_end() override {}
    void log_assert(const doctest::AssertData& data) override { failed = failed || data.m_failed; }
    void log_message(const doctest::MessageData& /*data*/) override {}
    void test_case_skipped(const doctest::TestCaseData& /*data*/) override {}
};

} // namespace

bool case_has_failed()
{
    return failed;
}

REGISTER_LISTENER("case_status", 1, status_listener);

} // namespace lagoonferry::test
