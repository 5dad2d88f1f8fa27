#include "roles/control/http_api.hpp"

#include <map>
#include <restinio/all.hpp>
#include <utility>

namespace myrtleroute::control {
namespace {

constexpr size_t max_body_bytes = 8 << 20, max_connections = 1024;

struct Traits : restinio::default_single_thread_traits_t {
    using request_handler_t = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
    static constexpr bool use_connection_count_limiter = true;
};

restinio::http_status_line_t status_line(int status) {
    const auto code = restinio::http_status_code_t(static_cast<uint16_t>(status));
    switch (status) {
        case 200: return {code, "OK"};
        case 307: return {code, "Temporary Redirect"};
        case 400: return {code, "Bad Request"};
        case 404: return {code, "Not Found"};
        case 405: return {code, "Method Not Allowed"};
        case 409: return {code, "Conflict"};
        case 412: return {code, "Precondition Failed"};
        case 413: return {code, "Payload Too Large"};
        case 428: return {code, "Precondition Required"};
        default: return {code, "Service Unavailable"};
    }
}

}   // namespace

struct HttpApi::Server {
    std::map<RequestId, restinio::request_handle_t> waiting;
    RequestId next = 1;
    std::unique_ptr<restinio::http_server_t<Traits>> http;
};

HttpApi::HttpApi(asio::io_context& context, const Endpoint& at, std::function<void(const HttpRequest&)> on_request,
                 std::function<void(const std::string&)> on_failed)
    : server_(std::make_unique<Server>()) {
    auto handler = [this, on_request = std::move(on_request)](restinio::request_handle_t handle) {
        const auto& header = handle->header();
        HttpRequest request;
        request.number = server_->next++;
        request.method = header.method().c_str();
        request.path = std::string(header.path());
        if (const auto field = header.opt_value_of("If-Match")) request.if_match = std::string(*field);
        request.body = handle->body();
        server_->waiting[request.number] = std::move(handle);
        on_request(request);
        return restinio::request_accepted();
    };
    using std::chrono::seconds;
    server_->http =
        std::make_unique<restinio::http_server_t<Traits>>(restinio::external_io_context(context), [&](auto& settings) {
            settings.address(at.address)
                .port(at.port)
                .request_handler(std::move(handler))
                .read_next_http_message_timelimit(seconds(30))
                .handle_request_timeout(seconds(8))
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

HttpApi::~HttpApi() = default;

void HttpApi::respond(const HttpResponse& response) {
    const auto it = server_->waiting.find(response.request);
    if (it == server_->waiting.end()) return;
    const auto handle = std::move(it->second);
    server_->waiting.erase(it);
    auto reply = handle->create_response(status_line(response.status));
    reply.append_header(restinio::http_field::content_type, "application/json");
    if (!response.location.empty()) reply.append_header(restinio::http_field::location, response.location);
    reply.set_body(response.body);
    reply.done();
}

}   // namespace myrtleroute::control
