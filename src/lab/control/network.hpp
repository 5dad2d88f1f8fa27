// Connections between processes of the system in a virtual world: ordered, with latency; held up by cuts, and broken where
// what was sent is not acknowledged in time. Cuts are one way each.
#pragma once
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "lab/random_stream.hpp"
#include "lab/queue.hpp"
#include "messages/messages.hpp"

namespace myrtleroute::lab::control {

using ProcessId = size_t;
using ConnectionId = uint64_t;

class Network {
public:
    // What a process hears of its connections. The caller delays it while the process stands still.
    struct Events {
        std::function<void(ProcessId, ConnectionId)> opened;   // the one that it dialled
        std::function<void(ProcessId, ConnectionId, const messages::Message&)> received;
        std::function<void(ProcessId, ConnectionId)> closed;   // also: did not come up
    };
    Network(Queue& queue, RandomStream random, Events events)
        : queue_(queue), random_(random), events_(std::move(events)) {}

    void process_started(ProcessId process);                // it can be connected to from now on
    void process_ended(ProcessId process, bool silently);   // silently: without power nobody is told
    bool is_running(ProcessId process) const;

    void cut(ProcessId from, ProcessId to, Time until);
    void heal();
    bool connected(ProcessId a, ProcessId b) const;   // no cut between them now, in either direction

    ConnectionId dial(ProcessId from, ProcessId to);
    void send(ConnectionId connection, ProcessId process, messages::Message message);
    void close(ConnectionId connection, ProcessId process);
    Span latency() { return {0.0005 + random_.exponential(0.0008) + (random_.bernoulli(0.01) ? 0.03 : 0)}; }

private:
    struct Side {
        ProcessId process = 0;
        uint64_t incarnation = 0;
        bool open = false;
        Time last_arrival;   // nothing overtakes what arrives then
    };
    struct Connection {
        Side sides[2];   // 0 has dialled
    };
    struct Process {
        uint64_t incarnation = 0;
        bool is_running = false;
        bool silent = false;   // without power
    };
    Time blocked_until(ProcessId from, ProcessId to) const;
    bool is_current(const Side& side) const;
    void accept(ConnectionId id);
    void deliver(ConnectionId id, int side, const messages::Message& message);
    void close_side(ConnectionId id, int side, Time at);
    int side_of(const Connection& connection, ProcessId process) const;

    Queue& queue_;
    RandomStream random_;
    Events events_;
    std::map<ProcessId, Process> processes_;
    std::map<std::pair<ProcessId, ProcessId>, Time> cuts_;
    std::map<ConnectionId, Connection> connections_;
    ConnectionId next_id_ = 1;
};

}   // namespace myrtleroute::lab::control
