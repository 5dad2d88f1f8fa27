// Serves the control role's figures over HTTP, by RESTinio on the caller's io_context, at a port of their own.
#pragma once
#include <asio.hpp>

#include <functional>
#include <memory>
#include <string>

#include "base/endpoint.hpp"

namespace myrtleroute::control {

class MetricsServer {
public:
    // `render` gives the text of the figures as they are now. `on_failed`: it can't listen, with the reason; nothing
    // is served then.
    MetricsServer(asio::io_context& context, const Endpoint& at, std::string path, std::function<std::string()> render,
                  std::function<void(const std::string&)> on_failed);
    ~MetricsServer();

private:
    struct Server;
    std::unique_ptr<Server> server_;
};

}   // namespace myrtleroute::control
