// The application's side: takes API calls from connections and gives each its one answer.
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
    bool open();                                     // false: can't listen there
    void ready() { ready_ = true; }                  // GET /up may answer 200
    void give(memory::PendingCall& call, int status, std::string_view body, std::string_view fields = {});
    bool shed();                                     // ends a connection that can go, if there is one
    void settle();                                   // goes on with calls that wait behind an answer
    void answer_by(Time last) { answer_by_ = last; } // whatever time a call has
    void last_ones();                                // takes what has come, listens no more, parts with idle ones
    void part_with_all();                            // that have no call out
    bool over() const { return open_ == 0 && !listener_; }
    void on_full(std::function<bool()> make_room) { make_room_ = std::move(make_room); }

    void on_readable(memory::Connection& c) override;
    void on_written(memory::Connection& c) override;
    void on_error(memory::Connection& c, int error) override;
    void on_timer(memory::Connection& c) override;

private:
    struct Listener;
    struct Client;
    void accept();
    void read(Client& c);
    void take(Client& c);
    void say(Client& c, int status, std::string_view body, std::string_view fields = {});
    void refuse(Client& c, int status);
    void rest(Client& c);
    void part(Client& c, memory::CloseReason why);
    void leave(Client& c);
    void wait(Client& c);
    void end(Client& c, memory::CloseReason why);

    Shared& s_;
    Listener* listener_ = nullptr;
    std::list<Client*> idle_, silent_, lingering_;   // the longest so first; `silent_` never asked
    std::deque<Client*> waiting_;
    std::function<bool()> make_room_;
    size_t open_ = 0;
    Time answer_by_{HUGE_VAL};
    bool ready_ = false, stopping_ = false;
};

}  // namespace myrtleroute::run
