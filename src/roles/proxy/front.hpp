// The clients' side: takes requests from connections, one at a time on each, and writes the answers.
#pragma once
#include <deque>
#include <functional>
#include <set>
#include <string>

#include "memory/connection.hpp"
#include "roles/proxy/context.hpp"
#include "roles/proxy/front_report.hpp"
#include "roles/proxy/request.hpp"

namespace myrtleroute::proxy {

// Reads a request's head and body.
class RequestReader : public wire::HttpHandler {
public:
    std::string method, target, content;
    std::vector<Field> fields;
    bool head_done = false;
    bool old = false;   // HTTP/1.0

    int start(std::string_view verb, std::string_view path, std::string_view version) override;
    int field(std::string_view name, std::string_view value) override;
    int head_ended(Body) override {
        head_done = true;
        return 0;
    }
    void body(std::string_view bytes) override { content.append(bytes); }
    void next() { *this = RequestReader(); }
};

class Front : public memory::ConnectionHandler {
public:
    struct Events {
        std::function<void(Client&, RequestReader&)> request;   // a whole one; answered by one of the calls below
        std::function<void(Request&)> client_left;
        std::function<void(Request&)> drained;   // all that was to be written is
        std::function<bool()> ready;             // what /ready answers
    };
    Front(Context& context, Events events);
    bool open(std::string& fault);   // false: it can't listen; the fault names the key and the address

    // Whole answers. `fields` are lines with their ends.
    void answer(Client& client, int status, const std::vector<Field>& fields, std::string_view body);
    void refuse(Client& client, int status, Span retry_after = {});
    // An answer piece by piece.
    void begin(Client& client, int status, const std::vector<Field>& fields);
    void piece(Client& client, std::string_view bytes);
    void finish(Client& client);
    void abort(Client& client);                 // cuts the answer off, so that it can't pass for a whole one
    bool crowded(const Client& client) const;   // it reads more slowly than it is sent to

    // Answers are the last of their connections from now on. A request that comes after `take_until` is refused: its
    // answer might not be whole before the process ends.
    void stop(Time take_until);
    void close_listeners();   // takes what has come, then no more connections
    size_t connections() const { return open_; }

    void on_readable(memory::Connection& connection) override;
    void on_written(memory::Connection& connection) override;
    void on_error(memory::Connection& connection, int error) override;
    void on_timer(memory::Connection& connection) override;

private:
    struct Listener;
    bool is_listener(const memory::Connection& connection) const;
    void accept(Listener& listener);
    void read(Client& client);
    void begin_reading(Client& client);   // of a request
    configuration::Limits limits() const;
    void begin_request(Client& client);   // it has to be answered from now on
    void take(Client& client);
    std::string connection_fields(Client& client) const;
    Span idle_limit() const;
    void rest(Client& client);
    void end(Client& client, memory::CloseReason why);
    void part(Client& client, ConnectionEnd cause);
    void note_end(Client& client, memory::CloseReason why);

    Context& context_;
    Events events_;
    FrontReport report_;
    Invariant& read_requests_are_answered_;
    Listener* front_ = nullptr;
    Listener* ready_ = nullptr;
    std::set<Client*> clients_;
    size_t open_ = 0;
    bool stopping_ = false, closed_ = false;
    Time take_until_;
};

struct Client : memory::Connection {
    Client(memory::ConnectionHandler& by, int fd, size_t max_in, size_t max_out, bool probe)
        : Connection(by, fd, max_in, max_out), http(wire::HttpParser::Side::request, reader), is_probe(probe) {
        detect_peer_close = true;
    }
    std::string name() const override { return "client"; }
    RequestReader reader;
    wire::HttpParser http;
    Request* request = nullptr;
    const bool is_probe;                                    // it asks for readiness
    bool busy = false;                                      // a request is being answered
    bool chunked = true;                                    // the answer under way is
    bool last = false;                                      // the connection ends with the answer
    bool lingers = false;                                   // our side is closed
    ConnectionEnd parted_as = ConnectionEnd::client_left;   // why our side is closed
    Span told_rest;   // for how long its client may let it rest, as told with the last answer; 0 = not told
    Time rests_since, parted_at;
    bool drains = false;   // the rest of a request that was refused before it was whole is read and dropped
};

}   // namespace myrtleroute::proxy
