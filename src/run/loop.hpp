// The loop: polls every connection, the thin driver that moves bytes between sockets and rings, timers.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <vector>

#include "memory/connection.hpp"
#include "run/home.hpp"
#include "run/log.hpp"
#include "time.hpp"

namespace myrtleroute::run {

class Loop {
public:
    Loop(Log& log, Home& home);
    Time now() const { return now_; }
    Home& home() const { return home_; }
    size_t connections() const { return polled_.size(); }
    size_t timers() const { return timers_.size(); }
    size_t unwritten() const;   // connections with bytes that wait to be written
    size_t wakes() const { return wakes_.size(); }

    template <class C>
    C& adopt(std::unique_ptr<C> connection) {
        C& c = *connection;
        take_in(std::move(connection));
        return c;
    }
    void flush(memory::Connection& c);                     // writes what it can; the rest when it may
    void listen_to(memory::Connection& c, bool on);
    void end(memory::Connection& c, memory::Why why);      // closes it, with its log line
    void end_all(memory::Why why);
    void set(memory::Connection& c, Time at) { timers_.set(c, at); }
    void clear(memory::Connection& c) { timers_.clear(c); }
    void wake(Time at, uint64_t cookie) { wakes_.push({at, next_wake_++, cookie}); }

    // One round: waits until something is due or has come, and hands it on. `settle` runs after every part,
    // for what must not happen inside of what caused it; `woken` gets the cookies whose time has come.
    void round(const std::function<void(uint64_t)>& woken, const std::function<void()>& settle);

private:
    void take_in(std::unique_ptr<memory::Connection> c);
    void look_again(memory::Connection& c);                // at what it is polled for
    void read(memory::Connection& c);
    void ready(memory::Connection& c, short what);
    int pause() const;

    struct Wake {
        Time at;
        uint64_t number, cookie;
        bool operator<(const Wake& o) const { return at != o.at ? at > o.at : number > o.number; }
    };
    Log& log_;
    Home& home_;
    Time now_;
    std::vector<pollfd> polled_;
    std::vector<std::unique_ptr<memory::Connection>> connections_;   // by the same places
    std::vector<std::unique_ptr<memory::Connection>> ended_;         // until the round is over
    std::vector<std::pair<memory::Connection*, short>> ready_;
    memory::Timers timers_;
    std::priority_queue<Wake> wakes_;
    uint64_t next_number_ = 1, next_wake_ = 0;
};

}  // namespace myrtleroute::run
