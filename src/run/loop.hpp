// Event loop: polls all connections, moves bytes between sockets and ring buffers, and runs timers.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <vector>

#include "memory/connection.hpp"
#include "run/system.hpp"
#include "run/log.hpp"
#include "time.hpp"

namespace myrtleroute::run {

class Loop {
public:
    Loop(Log& log, System& system);
    Time now() const { return now_; }
    System& system() const { return system_; }
    size_t connections() const { return polled_.size(); }
    size_t timers() const { return timers_.size(); }
    size_t unwritten_connections() const;   // connections with pending output
    size_t scheduled() const { return scheduled_.size(); }

    template <class C>
    C& add(std::unique_ptr<C> connection) {
        C& c = *connection;
        register_connection(std::move(connection));
        return c;
    }
    void flush(memory::Connection& c);                     // writes what the socket takes now, the rest later
    void poll_for_input(memory::Connection& c, bool on);   // for connections that the handler reads itself
    void close(memory::Connection& c, memory::CloseReason why);      // and logs the reason
    // As `close`, and the peer can tell it from the end of a message that ends with its connection.
    void reset(memory::Connection& c, memory::CloseReason why);
    void close_all(memory::CloseReason why);
    void set_timer(memory::Connection& c, Time at) { timers_.set(c, at); }
    void clear_timer(memory::Connection& c) { timers_.clear(c); }
    void schedule(Time at, uint64_t cookie) { scheduled_.push({at, next_scheduled_++, cookie}); }

    // One iteration: waits until an event or a timer is due and dispatches it. `deferred` runs after each event, for
    // work that must not run inside the event's handler; `timer_fired` gets the cookies of schedule() that are due.
    void run_once(const std::function<void(uint64_t)>& timer_fired, const std::function<void()>& deferred);

private:
    void remove(memory::Connection& c, memory::CloseReason why);
    void register_connection(std::unique_ptr<memory::Connection> c);
    void update_poll_events(memory::Connection& c);                // the events it is polled for
    void read(memory::Connection& c);
    void dispatch(memory::Connection& c, short events);
    int poll_timeout() const;

    struct ScheduledTimer {
        Time at;
        uint64_t number, cookie;
        bool operator<(const ScheduledTimer& o) const { return at != o.at ? at > o.at : number > o.number; }
    };
    Log& log_;
    System& system_;
    Time now_;
    std::vector<pollfd> polled_;
    std::vector<std::unique_ptr<memory::Connection>> connections_;   // parallel to polled_
    std::vector<std::unique_ptr<memory::Connection>> ended_;         // kept alive until the iteration is over
    std::vector<std::pair<memory::Connection*, short>> ready_;
    memory::Timers timers_;
    std::priority_queue<ScheduledTimer> scheduled_;
    uint64_t next_number_ = 1, next_scheduled_ = 0;
};

}  // namespace myrtleroute::run
