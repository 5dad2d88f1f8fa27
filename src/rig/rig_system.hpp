// The home of the rig's own processes: that of the program, with what a rig needs besides: many descriptors (epoll
// behind the same call), listening at every loopback address, links that are unheard or reset, datagrams.
//
// What fails comes back below 0 with errno set, as in run/system.hpp.
#pragma once
#include <netinet/in.h>

#include <optional>
#include <string_view>
#include <vector>

#include "rig/links.hpp"
#include "run/posix_system.hpp"

namespace myrtleroute::rig {

class RigSystem : public run::PosixSystem {
public:
    RigSystem();
    ~RigSystem() override;
    RigSystem(const RigSystem&) = delete;
    int poll(pollfd* polled, size_t n, int ms) override;
    void close(int fd) override;

    int listen_on_loopback(uint16_t& port);          // at all loopback addresses; port 0: one that is free, told
    int listen_unresponsive(const sockaddr_in& at);       // what connects to that address alone is never heard
    std::optional<Link> link_of(int fd);          // by the address that a connection was made to
    void reset_on_close(int fd);
    int reserve_port(uint16_t& port);                // kept from others while open, without listening

    int datagrams_on_loopback(uint16_t& port);
    struct Datagram { sockaddr_in from, to; std::string_view bytes; };   // bytes hold until the next call
    std::optional<Datagram> receive(int fd);
    bool send(int fd, const Datagram& datagram);

private:
    struct Known {
        bool in = false;
        short events = 0;
        size_t place = 0;
    };
    int epoll_;
    std::vector<Known> known_;   // by descriptor
    std::vector<char> buffer_;
    std::vector<int> fillers_;   // connections that fill deaf listeners, by the listener's descriptor
};

}  // namespace myrtleroute::rig
