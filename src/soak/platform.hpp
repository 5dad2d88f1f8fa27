// What the platform does for clients: it asks proxies whether they are ready, and hands out new connections unevenly.
#pragma once
#include <asio.hpp>

#include <vector>

#include "base/endpoint.hpp"
#include "lab/random_stream.hpp"

namespace myrtleroute::soak {

// Where a proxy serves.
struct ProxyAddresses {
    Endpoint front, ready;
};

class Platform {
public:
    Platform(asio::io_context& context, std::vector<ProxyAddresses> proxies, uint64_t seed);
    void start();   // asks once a second, until the io_context ends

    // The proxy that a new connection goes to: by the weights of those that are in; of all, should none be.
    size_t pick_proxy();
    const Endpoint& front(size_t proxy) const { return proxies_[proxy].at.front; }

private:
    struct Proxy {
        ProxyAddresses at;
        double weight = 1;   // share of the clients whose home it is
        int misses = 2;      // of /ready in a row; from two on it gets no clients
    };
    void ask_ready();

    asio::io_context& context_;
    lab::RandomStream chance_;
    std::vector<Proxy> proxies_;
    asio::steady_timer timer_;
};

}   // namespace myrtleroute::soak
