// Many stand-in servers in one process: cores, a queue, a start that is cold, a point beyond which a cold one tips
// over, a bounded table of connections, and the ways in which the conductor makes them fail. Each shot that comes is
// a line of the ledger: what was truly done.
#pragma once
#include <deque>
#include <list>
#include <map>

#include "lab/random_stream.hpp"
#include "rig/part.hpp"

namespace myrtleroute::rig {

class Servers : public Part {
public:
    Servers(Experiment e, std::string directory, std::string name, int number, int of);

private:
    struct Line;
    struct Job {
        size_t shot;             // of shots_
        Line* line;              // null: its connection is closed
        double work;
        uint64_t number;         // of its end's wake
    };
    struct Trouble { FaultKind kind; double how; };
    struct Arrived { double at, work; };
    struct Server {
        int number = 0;
        double size = 1;
        uint16_t port = 0;
        Listener* listener = nullptr;
        Time launched = long_ago, tipped_until = long_ago;
        std::list<Line*> lines;
        std::deque<Job> waiting;
        std::list<Job> running;
        std::deque<Arrived> lately;   // while it is cold
        std::map<int, Trouble> troubles;
    };

    void told(const std::string& word, std::istringstream& more) override;
    void woken(uint64_t cookie) override;
    void finish() override;
    void on_readable(memory::Connection& c) override;
    void on_error(memory::Connection& c, int error) override;
    void on_timer(memory::Connection& c) override;

    bool mine(int server) const { return server % of_ == number_; }
    void open(Server& s, bool cold);
    void close(Server& s);
    void asked(Line& line);
    bool weigh(Server& s, double work);   // false: it has tipped over
    double warmth(const Server& s) const;
    double work_of(uint64_t call, const Product& p) const;
    void go_on(Server& s);
    void done(Server& s, Job job);
    void say(Line& line, int status, std::string_view body, std::string_view fields = {});
    void end(Line& line, memory::CloseReason why, bool reset = false);
    const Trouble* trouble(const Server& s, FaultKind kind) const;

    int number_, of_;
    lab::RandomStream chance_;
    std::vector<Server> servers_;
    std::vector<ShotRecord> shots_;
    std::vector<ConnectionRecord> connections_;
    std::vector<TipRecord> tips_;
    std::map<uint64_t, int> working_;   // which server a wake is for
    uint64_t next_job_ = 0;
};

}  // namespace myrtleroute::rig
