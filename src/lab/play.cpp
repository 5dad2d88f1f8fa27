#include "lab/play.hpp"

#include <algorithm>
#include <deque>

#include "lab/world.hpp"

namespace myrtleroute::lab {

RunResult run_scenario(const Scenario& scenario, uint64_t until, const std::function<void(const std::string&)>& line) {
    World world(scenario);
    if (line) world.trace().set_sink([&line](Event, uint64_t, const std::string& text) { line(text); });
    while ((until == 0 || world.steps() < until) && world.step()) {}
    return {world.violation(), world.summary(), world.trace().digest(), world.steps()};
}

void report(std::ostream& out, const Scenario& scenario, const Violation& violation, const std::string& as) {
    out << as << " breaks a rule at step " << violation.step << ", " << violation.at.s
        << " s: " << name_of(violation.rule) << ", " << text_of(violation.rule) << "\n  " << violation.what << '\n';
    constexpr size_t max_lines = 30;
    std::deque<std::string> last;
    World world(scenario);
    world.trace().set_sink([&](Event what, uint64_t who, const std::string& line) {
        // Events of the calls concerned; if there are none, faults and events of the site and the proxies.
        const bool concerned = std::find(violation.calls.begin(), violation.calls.end(), who) != violation.calls.end();
        const bool site_event = what == Event::fault_begins || what == Event::fault_ends || what == Event::told ||
                          what == Event::asked || what == Event::signal || what == Event::started ||
                          what == Event::ended || what == Event::killed || what == Event::paused ||
                          what == Event::list_changes || what == Event::tipped;
        if (violation.calls.empty() ? !site_event : !concerned) return;
        last.push_back(line);
        if (last.size() > max_lines) last.pop_front();
    });
    while (world.step()) {}
    for (const auto& line : last) out << "    " << line << '\n';
    out << "  full trace: myrtleroute_lab " << as << " --trace -\n";
}

}  // namespace myrtleroute::lab
