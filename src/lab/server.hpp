// A server of the lab: cores, a queue, a start that is cold, a point beyond which it tips, and all the ways in
// which it may fail.
#pragma once
#include <deque>
#include <map>

#include "lab/oracle.hpp"
#include "lab/registry.hpp"

namespace myrtleroute::lab {

class Server : public SocketObserver {
public:
    Server(Site& site, Registry& registry, int slot, std::function<void()> list_changed);
    ~Server() override;
    void starts(bool cold);               // its process; listed as serving
    void begins(const Fault& fault);
    void ends(const Fault& fault);
    void costly(double factor) { costly_ = factor; }
    void socket_changed(Socket& socket) override;
    std::function<void(uint64_t call, Time comes)> on_answer;   // an answer to it will come then

private:
    struct Conn;
    struct Job {
        uint64_t call;
        size_t shot;         // of the call's
        uint64_t socket;
        Span work;
        Time give_up;
    };
    bool on(FaultKind kind) const { return on_[static_cast<size_t>(kind)] > 0; }
    double how(FaultKind kind) const { return how_[static_cast<size_t>(kind)]; }
    int cores() const { return 2 * (1 + slot_ / 2 % 2); }   // as its hint of capacity says
    double warmth() const;
    void list(Entry::State state);
    void dies(bool vanished = false);
    void drops(Job& job);
    void comes_back(Span after, bool fresh_uid);
    void asked(Conn& conn);
    void weigh(uint64_t call, Span work);
    void work();                          // starts what can start
    void finish(Job job);
    void say(Conn& conn, std::string text, Time comes = {});
    void reply(Conn& conn, int status, const std::string& body, const std::string& fields = {});
    void answer(const Job& job, bool duplicate);
    void end(uint64_t socket, bool reset = false);
    LabShot& shot(const Job& job) { return site_.oracle.call(job.call)->shots[job.shot]; }
    bool connected(const Job& job) const { return conns_.count(job.socket) > 0; }

    Site& site_;
    Registry& registry_;
    int slot_;
    std::function<void()> list_changed_;
    Machine machine_;
    RandomStream chance_;
    Handle listener_;
    std::string uid_;
    Time launched_{};
    bool up_ = false, listed_ = false;
    int lives_ = 0;          // ends what belongs to an earlier one
    int running_ = 0;
    double costly_ = 1;
    Time tipped_until_{};
    std::map<uint64_t, std::unique_ptr<Conn>> conns_;   // by socket
    std::deque<Job> waiting_;
    std::vector<Job> on_cores_;
    struct Weight {
        Time at;
        double work;
        bool known;
    };
    std::deque<Weight> cold_;
    std::array<int, static_cast<size_t>(FaultKind::kinds)> on_{};
    std::array<double, static_cast<size_t>(FaultKind::kinds)> how_{};
};

}  // namespace myrtleroute::lab
