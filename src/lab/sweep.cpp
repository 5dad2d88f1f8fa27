#include <atomic>
#include <fstream>
#include <iomanip>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include "lab/play.hpp"
#include "run/posix_system.hpp"

namespace myrtleroute::lab {

bool sweep(const Sweep& what, std::ostream& out, std::ostream& progress) {
    run::PosixSystem system;
    const Time began = system.now();
    std::atomic<uint64_t> next{0};
    std::mutex together;
    Summary all;
    uint64_t played = 0;
    std::map<uint64_t, Played> days;      // in order of the seeds, whoever played them
    const auto work = [&] {
        for (uint64_t n; (n = next++) < what.seeds;) {
            auto day = play(draw(what.from + n));
            const std::lock_guard lock(together);
            all.add(day.summary);
            day.summary = {};
            if (day.broken && what.first) next = what.seeds;
            if (day.broken || !what.record.empty()) days.emplace(what.from + n, std::move(day));
            ++played;
            if (played * 10 / what.seeds != (played - 1) * 10 / what.seeds)
                progress << played << " of " << what.seeds << " seeds, " << std::fixed << std::setprecision(1)
                         << (system.now() - began).s << " s" << std::endl;
        }
    };
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < what.jobs; ++i) threads.emplace_back(work);
    for (auto& t : threads) t.join();
    const double took = (system.now() - began).s;

    size_t broken = 0;
    std::map<std::string, uint64_t> by_rule;
    for (const auto& [seed, day] : days) {
        if (!day.broken) continue;
        ++by_rule[name_of(day.broken->rule)];
        if (++broken <= what.most_reports) report(out, draw(seed), *day.broken, "replay --seed " + std::to_string(seed));
        else if (broken <= 100) out << "replay --seed " << seed << " breaks " << name_of(day.broken->rule) << '\n';
    }
    if (!what.record.empty()) {
        std::ofstream record(what.record);
        for (const auto& [seed, day] : days)
            record << seed << ' ' << day.steps << ' ' << std::hex << day.digest << std::dec << ' '
                   << (day.broken ? name_of(day.broken->rule) : "kept") << '\n';
    }
    all.print(out);
    out << std::fixed << std::setprecision(1) << took << " s, " << static_cast<double>(all.steps) / took / 1e6
        << " million steps a second\n" << broken << " of " << what.seeds << " days broke a rule";
    for (const auto& [rule, n] : by_rule) out << ", " << rule << ' ' << n;
    out << std::endl;
    return broken == 0;
}

}  // namespace myrtleroute::lab
