// Sends one HTTP request on a new connection; used by the simulated clients, hosts and operator.
#pragma once
#include <asio.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/endpoint.hpp"
#include "time.hpp"
#include "wire/http.hpp"

namespace myrtleroute::soak {

using Fields = std::vector<std::pair<std::string, std::string>>;

// The value of the field, empty if it is absent.
std::string field_of(const Fields& fields, std::string_view name);

struct HttpReply {
    int status = 0;   // 0: no complete response was received
    Fields fields;
    std::string body;       // of a response that was cut off: what has been received
    int begun_status = 0;   // of the response that was cut off; 0: there is none
};

// Collects a parsed response.
struct ResponseReader : wire::HttpHandler {
    int start(std::string_view version, std::string_view code, std::string_view reason) override;
    int field(std::string_view name, std::string_view value) override;
    void body(std::string_view bytes) override { reply.body += bytes; }
    HttpReply reply;
};

struct HttpCall {
    Endpoint to;
    std::string text;                      // the serialized request
    Span timeout{1};                       // from the start of the connect to the end of the response
    std::function<void()> on_sending;      // called when connected, before the first byte is sent; may be empty
    std::function<void(HttpReply)> done;   // called exactly once
};
void start_call(asio::io_context& context, HttpCall call);

// Serializes a request with a body, with CRLF line ends; adds the fields Host and Content-Length.
std::string request_text(const std::string& method, const std::string& target, const std::string& host,
                         const Fields& fields, const std::string& body);

asio::ip::tcp::endpoint address_of(const Endpoint& endpoint);
void reset(asio::ip::tcp::socket& socket);   // closes the socket so that the peer receives a reset (RST)

}   // namespace myrtleroute::soak
