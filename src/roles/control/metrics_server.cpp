#include "roles/control/metrics_server.hpp"

#include <restinio/all.hpp>
#include <utility>

#include "base/metrics.hpp"
#include "roles/metrics_answer.hpp"

namespace myrtleroute::control {
namespace {

constexpr size_t max_body_bytes = 1024, max_connections = 8;

struct Traits : restinio::default_single_thread_traits_t {
    using request_handler_t = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
    static constexpr bool use_connection_count_limiter = true;
};

void respond(const restinio::request_handle_t& request, MetricsResponse answer) {
    const bool found = answer.status == 200;
    auto response = request->create_response(found ? restinio::status_ok() : restinio::status_not_found());
    if (found) response.append_header(restinio::http_field::content_type, std::string(metrics::content_type));
    response.connection_close();
    response.set_body(std::move(answer.body));
    response.done();
}

}   // namespace

struct MetricsServer::Server {
    std::unique_ptr<restinio::http_server_t<Traits>> http;
};

MetricsServer::MetricsServer(asio::io_context& context, const Endpoint& at, std::string path,
                             std::function<std::string()> render, std::function<void(const std::string&)> on_failed)
    : server_(std::make_unique<Server>()) {
    auto handler = [path = std::move(path), render = std::move(render)](const restinio::request_handle_t& request) {
        const auto& header = request->header();
        respond(request, respond_to_scrape(header.method().c_str(), header.request_target(), path, render));
        return restinio::request_accepted();
    };
    using std::chrono::seconds;
    server_->http =
        std::make_unique<restinio::http_server_t<Traits>>(restinio::external_io_context(context), [&](auto& settings) {
            settings.address(at.address)
                .port(at.port)
                .request_handler(std::move(handler))
                .read_next_http_message_timelimit(seconds(5))
                .handle_request_timeout(seconds(5))
                .write_http_response_timelimit(seconds(5))
                .max_parallel_connections(max_connections)
                .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}.max_body_size(max_body_bytes))
                .separate_accept_and_create_connect(false);
        });
    server_->http->open_async([] {},
                              [on_failed = std::move(on_failed)](const std::exception_ptr& error) {
                                  try {
                                      std::rethrow_exception(error);
                                  } catch (const std::exception& reason) {
                                      on_failed(reason.what());
                                  }
                              });
}

MetricsServer::~MetricsServer() = default;

}   // namespace myrtleroute::control
