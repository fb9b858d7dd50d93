#include "peer/socket_events.h"

#include <array>
#include <cerrno>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

namespace lagoonferry {

namespace {

void read_address(const sockaddr_in& address, std::string& ip, int& port)
{
    std::array<char, INET_ADDRSTRLEN> buf{};
    if (::inet_ntop(AF_INET, &address.sin_addr, buf.data(), buf.size()) != nullptr) {
        ip = buf.data();
        port = ntohs(address.sin_port);
    }
}

} // namespace

short wait_for_event(int socket, short events, std::chrono::milliseconds timeout)
{
    pollfd entry{socket, events, 0};
    int ready = 0;
    do {
        ready = ::poll(&entry, 1, static_cast<int>(timeout.count()));
    } while (ready < 0 && errno == EINTR);
    return ready > 0 ? entry.revents : short{0};
}

void read_remote_address(int socket, std::string& ip, int& port)
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    if (::getpeername(socket, reinterpret_cast<sockaddr*>(&address), &size) == 0) {
        read_address(address, ip, port);
    }
}

void read_local_address(int socket, std::string& ip, int& port)
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    if (::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) == 0) {
        read_address(address, ip, port);
    }
}

} // namespace lagoonferry
