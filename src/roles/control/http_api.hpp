// HTTP server for hosts and the operator, using RESTinio on the caller's io_context.
#pragma once
#include <asio.hpp>

#include <functional>
#include <memory>

#include "base/endpoint.hpp"
#include "roles/control/node.hpp"

namespace myrtleroute::control {

class HttpApi {
public:
    // `on_request` receives each request; `respond` sends the response. `on_failed` is called with the reason if the
    // server cannot listen.
    HttpApi(asio::io_context& context, const Endpoint& at, std::function<void(const HttpRequest&)> on_request,
            std::function<void(const std::string&)> on_failed);
    ~HttpApi();
    void respond(const HttpResponse& response);

private:
    struct Server;
    std::unique_ptr<Server> server_;
};

}   // namespace myrtleroute::control
