// The HTTP interface for hosts and the operator, by RESTinio on the caller's io_context.
#pragma once
#include <asio.hpp>

#include <functional>
#include <memory>

#include "base/endpoint.hpp"
#include "roles/control/node.hpp"

namespace myrtleroute::control {

class HttpApi {
public:
    // `on_request` gets each request; its answer comes by `answer`. `on_failed`: it can't listen, with the reason.
    HttpApi(asio::io_context& context, const Endpoint& at, std::function<void(const HttpRequest&)> on_request,
            std::function<void(const std::string&)> on_failed);
    ~HttpApi();
    void answer(const HttpResponse& answer);

private:
    struct Server;
    std::unique_ptr<Server> server_;
};

}   // namespace myrtleroute::control
