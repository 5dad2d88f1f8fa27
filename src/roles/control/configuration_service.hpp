// The operator's API for configurations: processes operations one after another on the replicated state. An operation
// brings a full configuration (PUT), changes named items of the current one (PATCH) or reads it (GET); the replicated
// value is always the full configuration that results.
//
// Only the leader decides. A response is sent once its content is certain: an acceptance when its entry is committed, a
// refusal or a read when a barrier shows that this replica was still the leader.
#pragma once
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "configuration/patch.hpp"
#include "consensus/replica.hpp"
#include "roles/control/bounds_reached.hpp"
#include "roles/control/outputs.hpp"

namespace myrtleroute::control {

class ConfigurationService {
public:
    ConfigurationService(consensus::Replica& replica, Outputs& outputs, BoundsReached& bounds)
        : replica_(replica), outputs_(outputs), bounds_(bounds) {}

    // Precondition: this replica is the leader. `if_match`: nullopt if the header is missing or malformed.
    void put(RequestId request, std::optional<uint64_t> if_match, std::string body, Time now);
    void patch(RequestId request, std::optional<uint64_t> if_match, std::string body, Time now);
    void get(RequestId request, Time now);

    void committed(uint64_t index, Time now);
    void barrier_passed(uint64_t number, Time now);
    void leadership_lost();
    void tick(Time now);

private:
    enum class Kind { read, put, patch };
    struct Operation {
        RequestId request = 0;
        Kind kind = Kind::read;
        std::optional<uint64_t> if_match;
        std::string body;
        Time arrived;
    };
    struct InProgress {
        Operation operation;
        HttpResponse response;             // sent when the wait ends
        std::optional<uint64_t> index;     // waits for the commit of this entry
        std::optional<uint64_t> barrier;   // waits for this barrier
    };
    void enqueue(Operation operation, Time now);
    void start_next(Time now);
    void start(Operation operation, Time now);
    void decide(Operation operation, const std::string& digest, Time now);
    void wait_for_barrier(Operation operation, HttpResponse response, Time now);
    void propose(Operation operation, configuration::Patched result, const std::string& digest, Time now);
    // The configuration that results from the operation.
    static ParseResult<configuration::Patched> result_of(const Operation& operation,
                                                         const consensus::ClusterState& state);
    static std::string digest_of(const Operation& operation);
    void finish(Time now);

    consensus::Replica& replica_;
    Outputs& outputs_;
    BoundsReached& bounds_;
    std::deque<Operation> waiting_;
    std::optional<InProgress> in_progress_;
};

}   // namespace myrtleroute::control
