// The steps of a proxy's shutdown after SIGTERM, as a function of time only.
//
// The platform checks readiness once a second and sends new connections until two checks in a row have failed, so
// the listeners stay open for a while. Then accepted requests are answered. Everything ends before the platform
// sends SIGKILL.
#pragma once
#include "time.hpp"

namespace myrtleroute::proxy {

class Shutdown {
public:
    enum class Step {
        none,
        close_listeners,
        answer_waiting,   // requests whose response has not started get an error
        cut,              // responses in progress are aborted, and the process ends
    };

    // `grace`: time from SIGTERM to SIGKILL.
    explicit Shutdown(Span grace) : grace_(grace) {}

    void begin(Time now);
    bool begun() const { return begun_; }
    // Returns each due step once. Called repeatedly until it returns `cut`.
    Step next(Time now);
    Time listeners_end() const;
    // A request that arrives later is refused: no client that has noticed the shutdown sends one.
    Time requests_end() const;
    // Responses that are not complete by then are aborted.
    Time answers_end() const;

private:
    Span grace_;
    Time began_at_;
    bool begun_ = false;
    Step last_step_ = Step::none;
};

}   // namespace myrtleroute::proxy
