// The operator's API for configurations: decides each order in its turn on the replicated state. An order brings a whole
// configuration (PUT) or changes named items of the current one (PATCH); what is replicated is the whole that results.
//
// Only the leader decides. An order is answered once what the answer says is committed: an acceptance when its entry
// is, a refusal or a reading when a barrier shows that this replica still led.
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

    // The caller has made sure that this replica leads. `if_match`: nothing where the header is missing or unsound.
    void put(RequestId request, std::optional<uint64_t> if_match, std::string body, Time now);
    void patch(RequestId request, std::optional<uint64_t> if_match, std::string body, Time now);
    void get(RequestId request, Time now);

    void committed(uint64_t index, Time now);
    void barrier_passed(uint64_t number, Time now);
    void leadership_lost();
    void tick(Time now);

private:
    enum class Kind { read, put, patch };
    struct Order {
        RequestId request = 0;
        Kind kind = Kind::read;
        std::optional<uint64_t> if_match;
        std::string body;
        Time arrived;
    };
    struct InProgress {
        Order order;
        HttpResponse answer;               // to be given then
        std::optional<uint64_t> index;     // waits for this entry
        std::optional<uint64_t> barrier;   // waits for this barrier
    };
    void take(Order order, Time now);
    void proceed(Time now);
    void begin(Order order, Time now);
    void decide(Order order, const std::string& digest, Time now);
    void wait_for_barrier(Order order, HttpResponse answer, Time now);
    void propose(Order order, configuration::Patched result, const std::string& digest, Time now);
    // What the order makes of the current configuration.
    static ParseResult<configuration::Patched> result_of(const Order& order, const consensus::ClusterState& state);
    static std::string digest_of(const Order& order);
    void finish(Time now);

    consensus::Replica& replica_;
    Outputs& outputs_;
    BoundsReached& bounds_;
    std::deque<Order> waiting_;
    std::optional<InProgress> in_progress_;
};

}   // namespace myrtleroute::control
