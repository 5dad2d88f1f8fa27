// Serves the control role's metrics over HTTP on a separate port, using RESTinio on the caller's io_context.
#pragma once
#include <asio.hpp>

#include <functional>
#include <memory>
#include <string>

#include "base/endpoint.hpp"

namespace myrtleroute::control {

class MetricsServer {
public:
    // `render` returns the metrics in text format. `on_failed` is called with the reason if the server cannot listen;
    // nothing is served then.
    MetricsServer(asio::io_context& context, const Endpoint& at, std::string path, std::function<std::string()> render,
                  std::function<void(const std::string&)> on_failed);
    ~MetricsServer();

private:
    struct Server;
    std::unique_ptr<Server> server_;
};

}   // namespace myrtleroute::control
