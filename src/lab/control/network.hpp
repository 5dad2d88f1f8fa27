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
        std::function<void(ProcessId, ConnectionId, const messages::Message&)> came;
        std::function<void(ProcessId, ConnectionId)> closed;   // also: did not come up
    };
    Network(Queue& queue, RandomStream chance, Events events)
        : queue_(queue), chance_(chance), events_(std::move(events)) {}

    void started(ProcessId process);                // it can be connected to from now on
    void ended(ProcessId process, bool silently);   // silently: without power nobody is told
    bool runs(ProcessId process) const;

    void cut(ProcessId from, ProcessId to, Time until);
    void heal();
    bool connected(ProcessId a, ProcessId b) const;   // no cut between them now, in either direction

    ConnectionId dial(ProcessId from, ProcessId to);
    void send(ConnectionId connection, ProcessId by, messages::Message message);
    void close(ConnectionId connection, ProcessId by);
    Span latency() { return {0.0005 + chance_.exponential(0.0008) + (chance_.bernoulli(0.01) ? 0.03 : 0)}; }

private:
    struct End {
        ProcessId process = 0;
        uint64_t life = 0;
        bool open = false;
        Time last;   // nothing overtakes what arrives then
    };
    struct Connection {
        End ends[2];   // 0 has dialled
    };
    struct Process {
        uint64_t life = 0;
        bool runs = false;
        bool silent = false;   // without power
    };
    Time blocked_until(ProcessId from, ProcessId to) const;
    bool lives(const End& end) const;
    void arrive(ConnectionId id);
    void deliver(ConnectionId id, int end, const messages::Message& message);
    void close_end(ConnectionId id, int end, Time at);
    int end_of(const Connection& connection, ProcessId process) const;

    Queue& queue_;
    RandomStream chance_;
    Events events_;
    std::map<ProcessId, Process> processes_;
    std::map<std::pair<ProcessId, ProcessId>, Time> cuts_;
    std::map<ConnectionId, Connection> connections_;
    ConnectionId next_ = 1;
};

}   // namespace myrtleroute::lab::control
