// Clients that send one request after another on a connection that they keep, also to a proxy that stops, until it is
// gone. They ask for streams of seconds beside short requests.
//
// A connection that ends without a whole answer is looked at once more: where the proxy had left bytes unread its close has
// reset the connection, else it has read the whole request.
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
    void start();   // until the io_context ends

private:
    class Client;
    std::vector<std::unique_ptr<Client>> clients_;
};

}   // namespace myrtleroute::soak
