// One HTTP request on a connection of its own, as the stand-ins of clients, hosts and the operator send them.
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

// The value of the field, empty where there is none.
std::string field_of(const Fields& fields, std::string_view name);

struct HttpReply {
    int status = 0;   // 0: no whole answer has come
    Fields fields;
    std::string body;
};

// Collects an answer.
struct ResponseReader : wire::HttpHandler {
    int start(std::string_view version, std::string_view code, std::string_view reason) override;
    int field(std::string_view name, std::string_view value) override;
    void body(std::string_view bytes) override { reply.body += bytes; }
    HttpReply reply;
};

struct HttpCall {
    Endpoint to;
    std::string text;                      // the request as it goes over the wire
    Span patience{1};                      // from the connect to the end of the answer
    std::function<void()> on_sending;      // the connection is up, the first byte is about to go; may be empty
    std::function<void(HttpReply)> done;   // called once
};
void start_call(asio::io_context& context, HttpCall call);

// A request with a body: the head's lines end in CRLF; Host and Content-Length are added.
std::string request_text(const std::string& method, const std::string& target, const std::string& host,
                         const Fields& fields, const std::string& body);

asio::ip::tcp::endpoint address_of(const Endpoint& endpoint);
void reset(asio::ip::tcp::socket& socket);   // closes it so that the other end sees a reset

}   // namespace myrtleroute::soak
