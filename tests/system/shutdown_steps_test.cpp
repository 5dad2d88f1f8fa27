// The steps of a proxy's shutdown, on a clock controlled by the test.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "roles/proxy/shutdown.hpp"

using namespace myrtleroute;
using proxy::Shutdown;

namespace {

const char* name_of(Shutdown::Step step) {
    switch (step) {
        case Shutdown::Step::none: return "none";
        case Shutdown::Step::close_listeners: return "close_listeners";
        case Shutdown::Step::answer_waiting: return "answer_waiting";
        case Shutdown::Step::cut: return "cut";
    }
    return "";
}

// All steps, polled at intervals of `every` milliseconds, with the time since SIGTERM in milliseconds.
std::vector<std::string> steps(Span grace, int every) {
    constexpr Time begun{50};
    constexpr double rounding = 1e-9;
    Shutdown shutdown(grace);
    shutdown.begin(begun);
    std::vector<std::string> reported;
    for (int at = 0; at < grace.s * 1000; at += every) {
        const Time now = begun + Span{at / 1000.0 + rounding};
        for (auto step = shutdown.next(now); step != Shutdown::Step::none; step = shutdown.next(now))
            reported.push_back(std::to_string(at) + " " + name_of(step));
    }
    return reported;
}

using Steps = std::vector<std::string>;

}   // namespace

TEST_CASE("a shutdown has three steps, each returned once, all before the end of the grace period") {
    CHECK(steps(Span{8}, 50) == Steps{"2300 close_listeners", "7400 answer_waiting", "7850 cut"});
    CHECK(steps(Span{30}, 50) == Steps{"2300 close_listeners", "29400 answer_waiting", "29850 cut"});
    CHECK(steps(Span{1}, 10) == Steps{"400 close_listeners", "900 answer_waiting", "980 cut"});
}

TEST_CASE("overdue shutdown steps of a stalled process are returned one by one, in order") {
    Shutdown shutdown(Span{8});
    CHECK(shutdown.next(Time{100}) == Shutdown::Step::none);   // shutdown has not begun
    shutdown.begin(Time{100});
    CHECK(shutdown.next(Time{107.9}) == Shutdown::Step::close_listeners);
    CHECK(shutdown.next(Time{107.9}) == Shutdown::Step::answer_waiting);
    CHECK(shutdown.next(Time{107.9}) == Shutdown::Step::cut);
}

TEST_CASE("requests are accepted slightly longer than connections, and responses end before the grace period") {
    Shutdown shutdown(Span{8});
    shutdown.begin(Time{100});
    CHECK(shutdown.listeners_end() < shutdown.requests_end());
    CHECK(shutdown.requests_end() < shutdown.answers_end());
    CHECK(shutdown.answers_end() < Time{108});
}
