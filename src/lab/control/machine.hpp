// A control machine of the virtual world: the real node on a virtual disk, driven as the runtime drives it.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "lab/control/disk.hpp"
#include "lab/control/network.hpp"
#include "roles/control/node.hpp"
#include "roles/control/start.hpp"
#include "roles/control/write_queue.hpp"

namespace myrtleroute::lab::control {

using Reply =
    std::function<void(const std::optional<myrtleroute::control::HttpResponse>&)>;   // nothing: no answer comes

class Machine {
public:
    // What a machine wants of the world around it.
    struct Surroundings {
        std::function<std::optional<ProcessId>(const Endpoint&)> process_at;
        std::function<void(Machine&)> acted;   // after everything that its node has done
    };
    Machine(Queue& queue, Network& network, ProcessId process, configuration::NodeSettings settings, uint64_t seed,
            Surroundings surroundings);

    void start();
    enum class End { killed, without_power };
    void end(End how);
    void freeze(Time until);
    // SIGTERM: it ends by itself a little later, and `ended` is called.
    void stop(std::function<void()> ended);
    void disk_busy_until(Time until, double factor);   // factor: of the time of a write; 0 = it ends none
    void disk_is_well();
    bool disk_is_busy() const { return disk_.refuses || queue_.now() < disk_busy_until_; }
    void thaw_now();
    void forget_first_start() { settings_.bootstrap = false; }

    // For the network and the callers of its HTTP interface.
    void opened(ConnectionId connection);
    void came(ConnectionId connection, const messages::Message& message);
    void closed(ConnectionId connection);
    // `given` hears the answer when the node gives it, `reply` when it arrives.
    void request(myrtleroute::control::HttpRequest request, Reply given, Reply reply);

    bool runs() const { return node_ != nullptr; }
    bool stands_still() const { return queue_.now() < frozen_until_; }
    bool is_stopping() const { return stopping_; }
    const myrtleroute::control::Node* node() const { return node_.get(); }
    ProcessId process() const { return process_; }
    const configuration::NodeSettings& settings() const { return settings_; }
    Endpoint peer() const { return {settings_.address, settings_.first_internal_port}; }
    VirtualDisk& disk() { return disk_; }
    // What a start after a loss of power would find of it.
    myrtleroute::control::StoredState safe_state() const;
    uint64_t lives() const { return life_; }
    bool gone = false;            // for good
    bool succeeds = false;        // one that is gone or will be
    Time back_at = long_ago;      // when it last was started, thawed or joined again
    Time disk_since = long_ago;   // since when it has this disk

private:
    struct Dialled {
        ConnectionId connection = 0;
        bool up = false;
        Time next_try = long_ago;
    };
    void do_or_wait(std::function<void()> what);   // now, or when it no longer stands still
    void tick(uint64_t life);
    void thaw(uint64_t life);
    void leave(uint64_t life, Time until);
    std::function<void()> stopped_;
    void keep_connected();
    void carry_out();
    void write(myrtleroute::control::Write write);
    void write_next();
    void answer(const myrtleroute::control::HttpResponse& answer);

    Queue& queue_;
    Network& network_;
    ProcessId process_;
    configuration::NodeSettings settings_;
    RandomStream chance_;
    Surroundings surroundings_;
    VirtualDisk disk_;
    std::unique_ptr<myrtleroute::control::Node> node_;
    std::optional<storage::RecordRing> ring_;
    myrtleroute::control::WriteQueue writes_;
    bool writing_ = false, stopping_ = false;
    uint64_t life_ = 0;
    Time frozen_until_ = long_ago, disk_busy_until_ = long_ago;
    double disk_factor_ = 1;
    std::deque<std::function<void()>> held_back_;
    std::map<Endpoint, Dialled> dialled_;
    struct Caller {
        Reply given, reply;
    };
    std::map<myrtleroute::control::RequestId, Caller> callers_;
    myrtleroute::control::RequestId next_request_ = 1;
};

}   // namespace myrtleroute::lab::control
