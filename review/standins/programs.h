#pragma once

#include "lab.h"

#include <random>

namespace lagoonferry::review {

/// One agent program, as its client sees it.
struct program {
    std::string id;
    std::uint64_t budget = 0;
    std::uint64_t turn_tokens = 0; ///< the most that one turn generates
    std::uint64_t handed = 0;      ///< tokens handed to the client, those of attempts that broke off included
    int served_turns = 0;
    int spent_answers = 0; ///< responses with status 402
    int other_answers = 0;
};

/// Client that runs the turns of programs. It asks the directory for addresses as the pages say.
class program_client {
public:
    explicit program_client(lab& owner) : m_lab(owner) {}

    /// Sends one turn. Returns the last status; a refused turn is sent again, at most twice.
    asio::awaitable<int> run_turn(program& item);

    /// Sends turns until the budget is spent, and twice more after that, or until `most` turns were served.
    asio::awaitable<void> run_until_spent(program& item, int most);

    /// Asks the directory at once, as after the end of a response's time to live.
    asio::awaitable<void> refresh();

private:
    lab& m_lab;
    std::vector<std::string> m_addresses;
    std::minstd_rand m_random{4711};
    deadline m_addresses_until{};
};

} // namespace lagoonferry::review
