#include "net/listener.h"

#include "util/log.h"

namespace lagoonferry {

std::optional<tcp::acceptor> open_listener(const asio::any_io_executor& loop, const std::string& ip, std::uint16_t port,
                                           int backlog)
{
    error_code ec;
    const tcp::endpoint address(asio::ip::make_address(ip, ec), port);
    tcp::acceptor acceptor(loop);
    if (!ec) {
        acceptor.open(address.protocol(), ec);
    }
    if (!ec) {
        acceptor.set_option(asio::socket_base::reuse_address(true), ec);
        acceptor.bind(address, ec);
    }
    if (!ec) {
        acceptor.listen(backlog, ec);
    }
    if (ec) {
        log(log_part::entry, log_level::error, "Cannot listen on an address.", field("ip", ip), field("port", port),
            field("reason", ec.message()));
        return std::nullopt;
    }
    return acceptor;
}

} // namespace lagoonferry
