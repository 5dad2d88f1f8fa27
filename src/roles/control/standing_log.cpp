#include "roles/control/standing_log.hpp"

#include <utility>

namespace myrtleroute::control {
namespace {

using consensus::Role;

std::string role_line(const Standing& standing) {
    const auto term = " in term " + std::to_string(standing.term);
    if (standing.role == Role::leader) return "leads" + term;
    if (standing.role == Role::candidate) return "stands for election after term " + std::to_string(standing.term);
    return standing.leader ? "follows " + standing.leader->text() + term : "follows nobody" + term;
}

}   // namespace

Standing standing_of(const consensus::Replica& replica, bool lends, Time now) {
    Standing standing{replica.role(), replica.term(), replica.leader(), replica.is_current(now), lends, 0};
    if (replica.entry()) standing.voters = replica.entry()->state.voters.size();
    return standing;
}

std::vector<std::string> StandingLog::changes(const Standing& standing) {
    std::vector<std::string> lines;
    const auto before = std::exchange(known_, standing);
    if (standing.role != before.role || standing.term != before.term || standing.leader != before.leader)
        lines.push_back(role_line(standing));
    if (standing.current != before.current)
        lines.emplace_back(standing.current ? "is in touch with a majority" : "is out of touch with a majority");
    if (standing.lends != before.lends) lines.emplace_back(standing.lends ? "lends limits" : "lends no limits");
    if (standing.voters != before.voters) lines.push_back("counts " + std::to_string(standing.voters) + " voters");
    return lines;
}

}   // namespace myrtleroute::control
