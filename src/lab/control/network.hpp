// Simulated connections between the processes: ordered, with latency. Cuts are one-way; they delay messages, and
// break a connection if what was sent is not acknowledged in time.
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
    // Events of a process's connections. The receiver defers them while the process is frozen.
    struct Events {
        std::function<void(ProcessId, ConnectionId)> opened;   // for the side that dialled
        std::function<void(ProcessId, ConnectionId, const messages::Message&)> received;
        std::function<void(ProcessId, ConnectionId)> closed;   // also when the connection could not be established
    };
    Network(Queue& queue, RandomStream random, Events events)
        : queue_(queue), random_(random), events_(std::move(events)) {}

    void process_started(ProcessId process);                // accepts connections from now on
    void process_ended(ProcessId process, bool silently);   // silently: after a power loss the peers get no reset
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
        Time last_arrival;   // arrival time of the last message: later ones don't overtake it
    };
    struct Connection {
        Side sides[2];   // 0 is the side that dialled
    };
    struct Process {
        uint64_t incarnation = 0;
        bool is_running = false;
        bool silent = false;   // after a power loss
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
