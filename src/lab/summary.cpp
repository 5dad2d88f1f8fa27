#include "lab/summary.hpp"

#include <algorithm>
#include <iomanip>

namespace myrtleroute::lab {

void Summary::add(const Summary& o) {
    uint64_t Summary::*const sums[] = {
        &Summary::runs, &Summary::steps, &Summary::rounds, &Summary::calls, &Summary::taken, &Summary::attempts,
        &Summary::executed, &Summary::resets, &Summary::fulfilled, &Summary::rate_limited, &Summary::errored,
        &Summary::turned_away, &Summary::left, &Summary::lost_to_kills, &Summary::further_attempts, &Summary::probes,
        &Summary::strangers};
    for (const auto sum : sums) this->*sum += o.*sum;
    max_held_bytes = std::max(max_held_bytes, o.max_held_bytes);
    for (size_t i = 0; i < faults.size(); ++i) faults[i] += o.faults[i];
    for (size_t i = 0; i < hard.size(); ++i) hard[i] += o.hard[i];
}

void Summary::print(std::ostream& out) const {
    out << "days " << runs << "  steps " << steps << "  rounds " << rounds << "\ncalls " << calls << "  taken " << taken
        << "  fulfilled " << fulfilled << "  rate-limited " << rate_limited << "  errored " << errored << "  turned away "
        << turned_away << "  left " << left << "  lost to kills " << lost_to_kills << "\nshots " << attempts << "  further "
        << further_attempts << "  executed " << executed << "  probes " << probes << "  resets " << resets << "  strangers "
        << strangers << "\nmost memory a proxy held " << max_held_bytes / 1024 << " KiB\nfaults met:";
    for (size_t i = 0; i < faults.size(); ++i)
        out << (i % 6 ? "  " : "\n  ") << info_of(static_cast<FaultKind>(i)).name << ' ' << faults[i];
    static constexpr const char* texts[] = {
#define X(name, text) text,
        MYRTLEROUTE_LAB_HARD(X)
#undef X
    };
    out << "\nhard cases met:\n";
    for (size_t i = 0; i < hard.size(); ++i) out << std::setw(10) << hard[i] << "  " << texts[i] << '\n';
}

}  // namespace myrtleroute::lab
