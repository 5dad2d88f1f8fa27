#include "lab/play.hpp"

#include <algorithm>
#include <deque>

#include "lab/world.hpp"

namespace myrtleroute::lab {

Played play(const Scenario& scenario, uint64_t until, const std::function<void(const std::string&)>& line) {
    World world(scenario);
    if (line) world.trace().read_by([&line](Event, uint64_t, const std::string& text) { line(text); });
    while ((until == 0 || world.steps() < until) && world.step()) {}
    return {world.broken(), world.summary(), world.trace().digest(), world.steps()};
}

void report(std::ostream& out, const Scenario& scenario, const Broken& broken, const std::string& as) {
    out << as << " breaks a rule at step " << broken.step << ", " << broken.at.s << " s: " << name_of(broken.rule) << ", "
        << text_of(broken.rule) << "\n  " << broken.what << '\n';
    constexpr size_t most_lines = 30;
    std::deque<std::string> last;
    World world(scenario);
    world.trace().read_by([&](Event what, uint64_t who, const std::string& line) {
        // Of the calls concerned; where none is, what befell the site and the proxies.
        const bool ours = std::find(broken.calls.begin(), broken.calls.end(), who) != broken.calls.end();
        const bool site = what == Event::fault_begins || what == Event::fault_ends || what == Event::told ||
                          what == Event::asked || what == Event::signal || what == Event::started ||
                          what == Event::ended || what == Event::killed || what == Event::paused ||
                          what == Event::list_changes || what == Event::tipped;
        if (broken.calls.empty() ? !site : !ours) return;
        last.push_back(line);
        if (last.size() > most_lines) last.pop_front();
    });
    while (world.step()) {}
    for (const auto& line : last) out << "    " << line << '\n';
    out << "  again: myrtleroute_lab " << as << " --trace -\n";
}

}  // namespace myrtleroute::lab
