#include "journal/kv_outbox.h"

namespace lagoonferry {

std::uint64_t kv_outbox::add(kv_call call)
{
    call.request = ++m_last_request;
    m_calls.push_back(std::move(call));
    return m_last_request;
}

} // namespace lagoonferry
