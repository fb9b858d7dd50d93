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

/// How many earlier versions of a document are kept.
inline constexpr std::uint64_t document_history_length = 50;

/// What an operator asks for. `if_version` is the version that the new body was made from; 0 creates the document.
/// A repeated request with the same `write_id` has no second effect.
struct put_request {
    std::string service;
    nlohmann::json body; ///< has passed check_document
    std::string author;
    std::uint64_t if_version = 0;
    std::string write_id;
    std::int64_t time_ms = 0;
};

/// The answer to a put. `record` is set when the put took effect. In a conflict `newer_version` and `newer_author`
/// name the version in force, if it could be read.
struct put_result {
    result_code code = result_code::ok;
    run_state run = run_state::not_run;
    std::string text;
    std::optional<document_record> record;
    std::uint64_t newer_version = 0;
    std::string newer_author;
};

/// One call to the key-value service that a put wants next.
struct put_call {
    enum class kind { get, list, compare_and_swap, erase };
    kind what = kind::get;
    std::string key; ///< a prefix for a list
    std::uint64_t expected = 0;
    std::string value;
    timestamp pause{}; ///< time to wait before the call
};

/// The steps of one put as a state machine on values:
/// read the head, keep it as history, replace it by compare-and-swap, remove old history.
/// A lost reply is resolved by repeating the same compare-and-swap until it has a definite answer, and by comparing the
/// write id in a conflict. A read that still shows the former version proves nothing, because the lost write may
/// arrive later. One owner; not thread-safe.
class document_put {
public:
    /// The put gives up at the first answer after `deadline`.
    document_put(put_request request, timestamp deadline);

    /// Returns the next call, or nothing when the put is finished.
    std::optional<put_call> next() const;

    /// Take the answer to the call that next() returned.
    void on_read(const kv_read& answer, timestamp now);
    void on_list(const std::optional<std::vector<std::string>>& keys);
    void on_write(const kv_write& answer, timestamp now);

    /// Returns whether the result is known. Further calls only remove old history.
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
    void on_history_written(const kv_write& answer, timestamp now);
    void on_head_written(const kv_write& answer, timestamp now);
    void on_oldest(const kv_entry& oldest);
    void next_oldest();
    void enter(step next_step);
    void retry(timestamp now);
    void take_effect();
    void fail_with_conflict(const std::optional<document_record>& newer);
    void reject(result_code code, run_state run, std::string text);
    void on_timeout();
    bool is_own(const std::optional<document_record>& record) const;

    put_request m_request;
    document_record m_next;
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

/// The clock of a put that runs against a store.
struct put_clock {
    std::function<timestamp()> now;
    std::function<void(timestamp)> wait;
};

/// Runs a put against a store until it is finished. Blocks for the calls and their pauses.
put_result run_put(document_put& put, kv_store& store, const put_clock& clock);

} // namespace lagoonferry
