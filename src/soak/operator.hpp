// The simulated operator: sends configurations one after another, repeats each until it is acknowledged, and finally
// reads the last one back.
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

// The JSON text of a configuration: the soak's routes, services and tenants with their limits.
// `varied`: adds routes, services, weights, timeouts, tenants and keys that no client uses and that differ in every
// version; the idle timeout of connections differs as well.
std::string configuration_text(uint64_t version, const Limits& limits, bool varied = false);

// The JSON text of a patch that changes only the tenants' limits of the previous version.
std::string patch_text(uint64_t version, const Limits& limits);

// Callbacks of the operator.
struct OperatorEvents {
    std::function<void(uint64_t version)> acknowledged;
    std::function<void(const std::string& text)> log_event;   // adds a line to the timeline
};

class Operator {
public:
    // slow: a change every few seconds; fast: several a second; storm: the next change, of all parts, as soon as the
    // previous one is acknowledged.
    enum class Pace { slow, fast, storm };
    Operator(asio::io_context& context, Checker& checker, std::vector<Endpoint> controls, uint64_t seed,
             std::function<double()> now, OperatorEvents events, Pace pace = Pace::slow);

    void start();   // sends the first configuration, and from then on further ones that change limits
    // Reads the configuration until a response arrives, and checks it. Calls `done` once.
    void read_back(std::function<void()> done);

private:
    void send(size_t control, int redirects);
    void handle_response(const HttpReply& reply, int redirects);
    void prepare_change();   // builds the request for the next version: the whole document or a patch
    void acknowledged();
    double change_interval();   // seconds until the next change
    void read(size_t control, int redirects);
    void check_reading(const HttpReply& reply);
    size_t random_control();
    std::optional<size_t> redirected(const HttpReply& reply) const;
    void send_again() { send(random_control(), 0); }
    void read_again() { read(random_control(), 0); }

    asio::io_context& context_;
    Checker& checker_;
    std::vector<Endpoint> controls_;
    lab::RandomStream chance_;
    std::function<double()> now_;
    OperatorEvents events_;
    Pace pace_;
    asio::steady_timer timer_;
    Limits limits_;
    uint64_t version_ = 0, acknowledged_ = 0;   // last sent, last acknowledged
    std::map<uint64_t, std::string> bodies_;    // whole documents, by version
    std::string method_, request_body_;         // of the request that is being sent
    bool stopped_ = false;                      // sends no further change
    std::function<void()> read_done_;
};

}   // namespace myrtleroute::soak
