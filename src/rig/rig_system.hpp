// Operating system interface of the rig's own processes. Extends that of the program with poll() based on epoll for
// thousands of descriptors, listeners at all loopback addresses, unresponsive listeners, connection resets and datagrams.
//
// Errors are returned as values below 0 with errno set, as in run/system.hpp.
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

    int listen_on_loopback(uint16_t& port);       // at all loopback addresses; port 0: set to a free one
    int listen_unresponsive(const sockaddr_in& at);   // connections to this address are never accepted
    std::optional<Link> link_of(int fd);          // from the connection's local address
    void reset_on_close(int fd);
    int reserve_port(uint16_t& port);             // bound without listening, so that no other process gets it

    int datagrams_on_loopback(uint16_t& port);
    struct Datagram { sockaddr_in from, to; std::string_view bytes; };   // bytes are valid until the next receive()
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
    std::vector<int>
        fillers_;   // connections that fill the queues of unresponsive listeners, by the listener's descriptor
};

}  // namespace myrtleroute::rig
