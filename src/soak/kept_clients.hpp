// Clients that send requests one after another on a persistent connection, also while the proxy shuts down, until it
// closes the connection. Besides short requests they send requests for streams that take seconds.
//
// A connection that ends without a complete response is checked again later: if the proxy had left bytes unread, its
// close has reset the connection; otherwise it had read the whole request.
#pragma once
#include <asio.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lab/random_stream.hpp"
#include "soak/checker.hpp"
#include "soak/platform.hpp"

namespace myrtleroute::soak {

class KeptClients {
public:
    KeptClients(asio::io_context& context, Checker& checker, Platform& platform, size_t count, uint64_t seed,
                const std::function<double()>& now);
    ~KeptClients();
    void start();   // sends requests until the io_context stops

private:
    class Client;
    std::vector<std::unique_ptr<Client>> clients_;
};

}   // namespace myrtleroute::soak
