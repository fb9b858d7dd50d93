#include "gateway/exchange.h"

namespace lagoonferry {

// Each request is placed at once.
asio::awaitable<bool> exchange::admit()
{
    co_return true;
}

} // namespace lagoonferry
