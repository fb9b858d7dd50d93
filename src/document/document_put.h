#pragma once

#include "document/document_record.h"
#include "platform/kv_store.h"
#include "util/result_code.h"
#include "util/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lagoonferry {

/// How many earlier versions of a document are kept.
inline constexpr std::uint64_t document_history_length = 50;

/// What an operator asks for. `if_version` is the version that the new body was made from; 0 creates the document.
struct put_request {
    std::string service;
    nlohmann::json body; ///< has passed check_document
    std::string author;
    std::uint64_t if_version = 0;
    std::string write_id;
    std::int64_t time_ms = 0;
};

/// The answer to a put. `record` is set when the put took effect. In a conflict `newer_version` and `newer_author`
/// name the version in force.
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
    enum class kind { get, compare_and_swap, erase };
    kind what = kind::get;
    std::string key;
    std::uint64_t expected = 0;
    std::string value;
};

/// The steps of one put as a state machine on values:
/// read the head, keep it as history, replace it by compare-and-swap, remove the oldest history.
/// A lost reply is resolved by repeating the same compare-and-swap until it has a definite answer, and by comparing the
/// write id in a conflict: a read that still shows the former version proves nothing, because the lost write may
/// arrive later. One owner; not thread-safe.
class document_put {
public:
    /// The put gives up at `deadline`.
    document_put(put_request request, timestamp deadline);

    /// Returns the next call, or nothing when the put is finished. Repeats a call whose reply was lost.
    std::optional<put_call> next() const;

    /// Takes the answer to the call of kind get. Precondition: next() returned such a call.
    void on_read(const kv_read& answer, timestamp now);

    /// Takes the answer to another call. Precondition: next() returned such a call.
    void on_write(const kv_write& answer, timestamp now);

    /// Returns the result. Precondition: next() returned nothing, or the put took effect and only trims the history.
    const put_result& result() const { return m_result; }

    /// Returns whether the result is known; the history may still be trimmed by further calls.
    bool decided() const { return m_decided; }

private:
    enum class step {
        read_head,
        keep_history,
        swap_head,
        read_conflict,
        read_superseded,
        read_oldest,
        erase_oldest,
        end
    };

    void on_head(const kv_entry& head);
    void on_conflict(const kv_entry& head);
    void on_superseding(const kv_entry& earlier);
    void on_oldest(const kv_entry& oldest);
    void on_kept(const kv_write& answer);
    void on_swapped(const kv_write& answer);
    void take_effect();
    void lose(const document_record& newer);
    void refuse(result_code code, run_state run, std::string text);
    void out_of_time();
    document_record next_record() const;

    put_request m_request;
    timestamp m_deadline;
    step m_step = step::read_head;
    kv_entry m_head;
    std::optional<document_record> m_former;
    std::optional<document_record> m_newer;
    std::uint64_t m_oldest_version = 0;
    bool m_maybe_written = false;
    bool m_decided = false;
    put_result m_result;
};

/// Runs a put against a store until its result is known and the history is trimmed. Blocks for the calls.
put_result run_put(document_put& put, kv_store& store, timestamp (*clock)());

} // namespace lagoonferry
