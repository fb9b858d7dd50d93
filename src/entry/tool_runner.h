#pragma once

#include "program/action.h"
#include "program/event.h"

namespace lagoonferry {

struct board;
class tool_client;

/// Sends tool calls to the targets that the service document names. Thread-safe; a call blocks its thread.
class tool_runner {
public:
    /// `shared` and `tools` must outlive this object.
    tool_runner(const board* shared, tool_client* tools) : m_board(shared), m_tools(tools) {}

    /// Sends one attempt and returns its result. Never retries a call.
    call_finished run(const send_tool_call& work);

private:
    const board* m_board;
    tool_client* m_tools;
};

} // namespace lagoonferry
