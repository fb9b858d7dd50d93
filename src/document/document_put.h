#pragma once

#include "backends/kv_store.h"
#include "document/document_record.h"
#include "util/result_code.h"
#include "util/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lagoonferry {

/// Number of earlier versions of a document that are kept.
inline constexpr std::uint64_t document_history_length = 50;

/// A request to replace a document. `if_version` is the version that the new body is based on; 0 creates the document.
/// A repeated request with the same `write_id` has no further effect.
struct put_request {
    std::string service;
    nlohmann::json body; ///< has passed `check_document`
    std::string author;
    std::uint64_t if_version = 0;
    std::string write_id;
    std::int64_t time_ms = 0;
};

/// The result of a put. `record` is set when the put took effect. In a conflict `newer_version` and `newer_author`
/// describe the version in force, if it could be read.
struct put_result {
    result_code code = result_code::ok;
    execution_state run = execution_state::not_run;
    std::string text;
    std::optional<document_record> record;
    std::uint64_t newer_version = 0;
    std::string newer_author;
};

/// The next call to the key-value service that a put needs.
struct put_call {
    enum class kind { get, list, compare_and_swap, erase };
    kind operation = kind::get;
    std::string key; ///< for `list` a prefix
    std::uint64_t expected = 0;
    std::string value;
    timestamp pause{}; ///< time to wait before the call
};

/// State machine of one put, without I/O. The steps are:
/// read the head, copy it to the history, replace it by compare-and-swap, remove old history.
/// After a lost response the same compare-and-swap is repeated until the result is definite; in a conflict the write id
/// shows whether the stored version is the own one. A read that still returns the previous version proves nothing,
/// because the delayed write may take effect later. Not thread-safe.
class document_put {
public:
    /// The put fails at the first inconclusive response after `deadline`.
    document_put(put_request request, timestamp deadline);

    /// Returns the next call, or nothing when the put is finished.
    std::optional<put_call> next() const;

    /// Process the response to the call that next() returned.
    void on_read(const kv_read& response, timestamp now);
    void on_list(const std::optional<std::vector<std::string>>& keys);
    void on_write(const kv_write& response, timestamp now);

    /// Returns whether the result is final. Any further calls only remove old history.
    bool decided() const { return m_decided; }

    /// Precondition: decided().
    const put_result& result() const { return m_result; }

private:
    enum class step {
        read_head,
        write_history,
        swap_head,
        read_conflict,
        read_superseding,
        list_history,
        read_oldest,
        erase_oldest,
        end
    };

    void on_head(const kv_entry& head);
    void on_conflict(const kv_entry& head);
    void on_superseded(const kv_entry& earlier);
    void on_history_written(const kv_write& response, timestamp now);
    void on_head_written(const kv_write& response, timestamp now);
    void on_oldest(const kv_entry& oldest);
    void next_oldest();
    void enter(step next_step);
    void retry(timestamp now);
    void succeed();
    void fail_with_conflict(const std::optional<document_record>& newer);
    void reject(result_code code, execution_state run, std::string text);
    void on_timeout();
    bool is_own_write(const std::optional<document_record>& record) const;

    put_request m_request;
    document_record m_new_record;
    timestamp m_deadline;
    step m_step = step::read_head;
    timestamp m_pause{};
    std::uint64_t m_head_version = 0; ///< of the key-value entry
    std::uint64_t m_previous_version = 0;
    std::string m_previous_text;
    std::optional<document_record> m_newer;
    std::vector<std::string> m_oldest; ///< keys to remove, the next one last
    std::uint64_t m_oldest_version = 0;
    bool m_maybe_written = false;
    bool m_conflict_certain = false;
    bool m_decided = false;
    put_result m_result;
};

/// The clock that `run_put` uses.
struct put_clock {
    std::function<timestamp()> now;
    std::function<void(timestamp)> wait;
};

/// Executes the calls of a put on a store until it is finished. Blocks during the calls and the pauses before them.
put_result run_put(document_put& put, kv_store& store, const put_clock& clock);

} // namespace lagoonferry
