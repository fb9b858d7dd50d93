#include "gateway/exchange.h"

namespace lagoonferry {

// Limits of client accounts are not enforced yet.
asio::awaitable<bool> exchange::check_request_limit()
{
    co_return true;
}

} // namespace lagoonferry
