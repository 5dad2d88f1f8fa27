// The discovery client: watches the server list by long polling and passes it to the balancer.
#pragma once
#include "random.hpp"
#include "run/servers.hpp"
#include "run/shared.hpp"
#include "wire/discovery.hpp"
#include "wire/reply.hpp"

namespace myrtleroute::run {

class Watcher : public memory::ConnectionHandler, public wire::ServerListSink {
public:
    Watcher(Shared& shared, Servers& servers);
    void deliver_known();
    bool has_list() const { return has_list_; }
    void watch() { watch_requested_ = true; }   // from now on, until a request fails
    void discovery_moved();            // connects to the address in the reloaded configuration
    void start_requested();

    void list_began(bool complete) override;
    void server(std::string_view uid, std::string_view endpoint, std::string_view zone, uint16_t cell,
                std::string_view state, double size, double boot_ms) override;
    void list_ended() override;

    void on_connected(memory::Connection& c) override;
    void on_readable(memory::Connection& c) override;
    void on_error(memory::Connection& c, int error) override;
    void on_timer(memory::Connection& c) override;

private:
    struct Request;
    void send_request();
    void set_request_timeout();                      // the timeout of the request in flight
    void request_failed(memory::CloseReason why);
    void report_failure();
    uint16_t zone_index(std::string_view name);
    void server_gone(memory::Server& server);   // a list reports it gone

    Shared& s_;
    Servers& servers_;
    Request* request_ = nullptr;
    std::string body_;
    std::vector<std::string> zones_;
    Pcg random_;
    double unix_time_offset_;            // seconds from the monotonic clock to Unix time
    uint64_t rev_ = 0, lists_ = 0, entries_ = 0;
    bool has_rev_ = false, has_list_ = false, from_configuration_ = false, complete_ = false, watch_requested_ = false;
};

}  // namespace myrtleroute::run
