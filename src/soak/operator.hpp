// The operator: sends configurations one after the other, each until it is acknowledged, and reads back the last one.
#pragma once
#include <asio.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lab/random_stream.hpp"
#include "soak/checker.hpp"
#include "soak/http_call.hpp"

namespace myrtleroute::soak {

// The configuration of a version as it goes over the wire: the routes and services of the soak, its tenants with limits.
// `varied`: beside these it has routes, services, weights, time-outs, tenants and keys that no client uses and that are
// others in every version; so is the time for which connections may rest.
std::string configuration_text(uint64_t version, const Limits& limits, bool varied = false);

// The same where all but the limits is as in the version before: a change of the tenants alone.
std::string patch_text(uint64_t version, const Limits& limits);

// What the operator tells of its orders.
struct OperatorEvents {
    std::function<void(uint64_t version)> acknowledged;
    std::function<void(const std::string& text)> note;   // for the timeline
};

class Operator {
public:
    // Changes every few seconds; several a second; one as soon as the last is acknowledged, in all parts.
    enum class Pace { calm, series, storm };
    Operator(asio::io_context& context, Checker& checker, std::vector<Endpoint> controls, uint64_t seed,
             std::function<double()> now, OperatorEvents events, Pace pace = Pace::calm);

    void start();   // sends the first configuration, and later ones that move limits
    // Reads until an answer comes, and judges it. `done` is called once.
    void read_back(std::function<void()> done);

private:
    void send(size_t control, int redirects);
    void answered(const HttpReply& reply, int redirects);
    void draw_order();   // the next version, whole or as a change of the one before
    void acknowledged();
    double pause_between();   // changes, in seconds
    void read(size_t control, int redirects);
    void judge_reading(const HttpReply& reply);
    size_t another_control();
    std::optional<size_t> redirected(const HttpReply& reply) const;
    void send_again() { send(another_control(), 0); }
    void read_again() { read(another_control(), 0); }

    asio::io_context& context_;
    Checker& checker_;
    std::vector<Endpoint> controls_;
    lab::RandomStream chance_;
    std::function<double()> now_;
    OperatorEvents events_;
    Pace pace_;
    asio::steady_timer timer_;
    Limits limits_;
    uint64_t version_ = 0, acknowledged_ = 0;   // sent and acknowledged last
    std::map<uint64_t, std::string> bodies_;    // whole, by version
    std::string method_, order_;                // as the order that is sent goes over the wire
    bool stops_ = false;                        // no further change
    std::function<void()> read_done_;
};

}   // namespace myrtleroute::soak
