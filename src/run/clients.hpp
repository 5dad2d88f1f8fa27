// The client side: reads API calls from the application's connections and sends one response to each.
#pragma once
#include <cmath>
#include <deque>
#include <functional>
#include <list>

#include "run/shared.hpp"
#include "wire/ask.hpp"

namespace myrtleroute::run {

class Clients : public memory::ConnectionHandler {
public:
    explicit Clients(Shared& shared) : s_(shared) {}
    bool open();                                     // false: can't listen at the configured address
    void ready() { ready_ = true; }                  // GET /up may answer 200
    void respond(memory::PendingCall& call, int status, std::string_view body, std::string_view fields = {});
    bool shed();                                     // closes a connection that can be spared; false: there is none
    void process_waiting();    // reads the next calls of connections whose response has been written
    void set_final_deadline(Time deadline) { final_deadline_ = deadline; } // upper bound of all deadlines
    void stop_accepting();     // accepts what is queued, stops listening, closes idle connections
    void close_idle();                            // those without a call
    bool finished() const { return open_ == 0 && !listener_; }
    void set_make_room(std::function<bool()> make_room) { make_room_ = std::move(make_room); }

    void on_readable(memory::Connection& c) override;
    void on_written(memory::Connection& c) override;
    void on_error(memory::Connection& c, int error) override;
    void on_timer(memory::Connection& c) override;

private:
    struct Listener;
    struct Client;
    void accept();
    void read(Client& c);
    void handle_request(Client& c);
    void send_response(Client& c, int status, std::string_view body, std::string_view fields = {});
    void reject(Client& c, int status);
    void become_idle(Client& c);
    void start_close(Client& c, memory::CloseReason why);
    void remove_from_list(Client& c);
    void enqueue(Client& c);
    void end(Client& c, memory::CloseReason why);

    Shared& s_;
    Listener* listener_ = nullptr;
    std::list<Client*> idle_, silent_, lingering_;   // longest first; `silent_` have sent no call yet
    std::deque<Client*> waiting_;
    std::function<bool()> make_room_;
    size_t open_ = 0;
    Time final_deadline_{HUGE_VAL};
    bool ready_ = false, stopping_ = false;
};

}  // namespace myrtleroute::run
