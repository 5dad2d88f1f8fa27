#include "roles/control/replica_status_log.hpp"

#include <utility>

namespace myrtleroute::control {
namespace {

using consensus::Role;

std::string role_line(const ReplicaStatus& status) {
    const auto term = " in term " + std::to_string(status.term);
    if (status.role == Role::leader) return "leads" + term;
    if (status.role == Role::candidate) return "stands for election after term " + std::to_string(status.term);
    return status.leader ? "follows " + status.leader->text() + term : "has no leader" + term;
}

}   // namespace

ReplicaStatus replica_status(const consensus::Replica& replica, bool grants_leases, Time now) {
    ReplicaStatus status{replica.role(), replica.term(), replica.leader(), replica.is_current(now), grants_leases, 0};
    if (replica.entry()) status.voters = replica.entry()->state.voters.size();
    return status;
}

std::vector<std::string> ReplicaStatusLog::changes(const ReplicaStatus& status) {
    std::vector<std::string> lines;
    const auto before = std::exchange(last_, status);
    if (status.role != before.role || status.term != before.term || status.leader != before.leader)
        lines.push_back(role_line(status));
    if (status.current != before.current)
        lines.emplace_back(status.current ? "is in contact with a majority" : "is out of contact with a majority");
    if (status.grants_leases != before.grants_leases)
        lines.emplace_back(status.grants_leases ? "grants leases" : "grants no leases");
    if (status.voters != before.voters) lines.push_back("knows " + std::to_string(status.voters) + " voters");
    return lines;
}

}   // namespace myrtleroute::control
