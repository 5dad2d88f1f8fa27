// Discovery's side: watches the list of servers and tells it.
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
    void tell_known();
    bool has_list() const { return has_list_; }
    void watch() { wanted_ = true; }   // from now on, until a call fails
    void discovery_moved();            // to where the configuration now says
    void settle();

    void list_began(bool whole) override;
    void server(std::string_view uid, std::string_view endpoint, std::string_view zone, uint16_t cell,
                std::string_view state, double size, double boot_ms) override;
    void list_ended() override;

    void on_connected(memory::Connection& c) override;
    void on_readable(memory::Connection& c) override;
    void on_error(memory::Connection& c, int error) override;
    void on_timer(memory::Connection& c) override;

private:
    struct Call;
    void ask();
    void set_limit();                      // of the call that is out
    void failed(memory::CloseReason why);
    void no_list();
    uint16_t zone_number(std::string_view name);
    void leaves(memory::Server& server);   // called gone

    Shared& s_;
    Servers& servers_;
    Call* call_ = nullptr;
    std::string body_;
    std::vector<std::string> zones_;
    Pcg chance_;
    double clocks_apart_;            // seconds from this machine's steady clock to Unix time
    uint64_t rev_ = 0, lists_ = 0, entries_ = 0;
    bool has_rev_ = false, has_list_ = false, cached_ = false, whole_ = false, wanted_ = false;
};

}  // namespace myrtleroute::run
