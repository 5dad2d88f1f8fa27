// The platform's load balancer for clients: checks the readiness of proxies and distributes new connections unevenly.
#pragma once
#include <asio.hpp>

#include <vector>

#include "base/endpoint.hpp"
#include "lab/random_stream.hpp"

namespace myrtleroute::soak {

// Addresses of a proxy: for clients and for readiness checks.
struct ProxyAddresses {
    Endpoint front, ready;
};

class Platform {
public:
    Platform(asio::io_context& context, std::vector<ProxyAddresses> proxies, uint64_t seed);
    void start();   // checks once a second until the io_context stops

    // Chooses the proxy for a new connection at random by weight among the proxies in rotation; among all if none is.
    size_t pick_proxy();
    const Endpoint& front(size_t proxy) const { return proxies_[proxy].addresses.front; }

private:
    struct Proxy {
        ProxyAddresses addresses;
        double weight = 1;       // relative share of new connections
        int failed_checks = 2;   // consecutive failures of /ready; with two or more it gets no clients
    };
    void check_readiness();

    asio::io_context& context_;
    lab::RandomStream chance_;
    std::vector<Proxy> proxies_;
    asio::steady_timer timer_;
};

}   // namespace myrtleroute::soak
