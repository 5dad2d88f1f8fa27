// The steps of a proxy's end after SIGTERM, by its clock alone.
//
// The platform asks for readiness once a second and sends new connections until two answers in a row were no 200, so the
// listeners stay open for a while. Then what was taken is answered. All is over before the platform's SIGKILL.
#pragma once
#include "time.hpp"

namespace myrtleroute::proxy {

class Shutdown {
public:
    enum class Step {
        none,
        close_listeners,
        answer_waiting,   // requests whose answer has not begun get a failure
        cut,              // answers that have begun are cut, and the process ends
    };

    // `grace`: from SIGTERM to SIGKILL.
    explicit Shutdown(Span grace) : grace_(grace) {}

    void begin(Time now);
    bool begun() const { return begun_; }
    // The step that is due, each told once. Asked until it is `cut`.
    Step next(Time now);
    Time listeners_end() const;
    // A request that comes later than this is refused: no client that knows of the end sends one.
    Time take_until() const;
    // An answer that is not whole by then is cut.
    Time answers_end() const;

private:
    Span grace_;
    Time began_at_;
    bool begun_ = false;
    Step told_ = Step::none;
};

}   // namespace myrtleroute::proxy
