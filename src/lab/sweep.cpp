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

bool sweep(const Sweep& options, std::ostream& out, std::ostream& progress) {
    run::PosixSystem system;
    const Time started = system.now();
    std::atomic<uint64_t> next{0};
    std::mutex mutex;
    Summary total;
    uint64_t finished = 0;
    // By seed, so that the output doesn't depend on the order in which threads finish.
    std::map<uint64_t, RunResult> results;
    const auto worker = [&] {
        for (uint64_t n; (n = next++) < options.seeds;) {
            auto result = run_scenario(draw_scenario(options.from + n));
            const std::lock_guard lock(mutex);
            total.add(result.summary);
            result.summary = {};
            if (result.violation && options.stop_at_first) next = options.seeds;
            if (result.violation || !options.record.empty()) results.emplace(options.from + n, std::move(result));
            ++finished;
            if (finished * 10 / options.seeds != (finished - 1) * 10 / options.seeds)
                progress << finished << " of " << options.seeds << " seeds, " << std::fixed << std::setprecision(1)
                         << (system.now() - started).s << " s" << std::endl;
        }
    };
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < options.jobs; ++i) threads.emplace_back(worker);
    for (auto& t : threads) t.join();
    const double took = (system.now() - started).s;

    size_t violations = 0;
    std::map<std::string, uint64_t> by_rule;
    for (const auto& [seed, result] : results) {
        if (!result.violation) continue;
        ++by_rule[name_of(result.violation->rule)];
        if (++violations <= options.max_reports)
            report(out, draw_scenario(seed), *result.violation, "replay --seed " + std::to_string(seed));
        else if (violations <= 100)
            out << "replay --seed " << seed << " breaks " << name_of(result.violation->rule) << '\n';
    }
    if (!options.record.empty()) {
        std::ofstream record(options.record);
        for (const auto& [seed, result] : results)
            record << seed << ' ' << result.steps << ' ' << std::hex << result.digest << std::dec << ' '
                   << (result.violation ? name_of(result.violation->rule) : "kept") << '\n';
    }
    total.print(out);
    out << std::fixed << std::setprecision(1) << took << " s, " << static_cast<double>(total.steps) / took / 1e6
        << " million steps a second\n" << violations << " of " << options.seeds << " days broke a rule";
    for (const auto& [rule, n] : by_rule) out << ", " << rule << ' ' << n;
    out << std::endl;
    return violations == 0;
}

}  // namespace myrtleroute::lab
