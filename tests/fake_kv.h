#pragma once

#include "journal/kv_call.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace lagoonferry::test {

/// In-memory key-value service without delays or faults. Counts reads and writes.
class fake_kv {
public:
    kv_reply apply(const kv_call& call)
    {
        kv_reply reply{.request = call.request, .status = kv_status::ok, .value = {}, .version = 0, .keys = {}};
        const auto it = m_entries.find(call.key);
        const std::uint64_t present = it == m_entries.end() ? 0 : it->second.version;
        reply.version = present;
        switch (call.operation) {
        case kv_operation::get:
            reply.value = it == m_entries.end() ? std::string() : it->second.value;
            ++m_reads;
            return reply;
        case kv_operation::list:
            for (auto key = m_entries.lower_bound(call.key); key != m_entries.end(); ++key) {
                if (key->first.starts_with(call.key)) {
                    reply.keys.push_back(key->first);
                }
            }
            ++m_reads;
            return reply;
        case kv_operation::compare_and_swap:
        case kv_operation::erase:
            break;
        }
        ++m_writes;
        ++m_kinds[call.operation == kv_operation::erase ? "erase" : call.key.substr(0, call.key.find('/'))];
        if (present != call.expected) {
            reply.status = kv_status::conflict;
            return reply;
        }
        if (call.operation == kv_operation::erase) {
            m_entries.erase(call.key);
            return reply;
        }
        m_largest_value = std::max(m_largest_value, call.value.size());
        m_entries[call.key] = {call.value, ++m_last_version};
        reply.version = m_last_version;
        return reply;
    }

    const std::map<std::string, kv_entry>& entries() const { return m_entries; }
    std::uint64_t writes() const { return m_writes; }
    /// Number of writes by the first component of the key, and of removals as "erase".
    const std::map<std::string, std::uint64_t>& writes_by_kind() const { return m_kinds; }
    std::uint64_t reads() const { return m_reads; }
    std::size_t largest_value() const { return m_largest_value; }

private:
    std::map<std::string, kv_entry> m_entries;
    std::uint64_t m_last_version = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_reads = 0;
    std::map<std::string, std::uint64_t> m_kinds;
    std::size_t m_largest_value = 0;
};

} // namespace lagoonferry::test
