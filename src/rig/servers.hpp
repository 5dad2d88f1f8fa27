// Many simulated servers in one process: cores, a queue, a cold start, an overload threshold while cold, a bounded
// number of connections, and injected faults. Each received attempt is recorded with what was actually executed.
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
    struct ProxyConnection;
    struct Job {
        size_t attempt;             // index in attempts_
        ProxyConnection* connection;              // null: closed
        double work;
        uint64_t number;         // cookie of the timer at its end
    };
    struct ActiveFault { FaultKind kind; double how; };
    struct RecentWork { double at, work; };
    struct Server {
        int number = 0;
        double size = 1;
        uint16_t port = 0;
        Listener* listener = nullptr;
        Time started_at = long_ago, overloaded_until = long_ago;
        std::list<ProxyConnection*> connections;
        std::deque<Job> waiting;
        std::list<Job> running;
        std::deque<RecentWork> recent_work;   // recorded while the server is cold
        std::map<int, ActiveFault> faults;
    };

    void on_command(const std::string& word, std::istringstream& more) override;
    void timer_fired(uint64_t cookie) override;
    void write_results() override;
    void on_readable(memory::Connection& c) override;
    void on_error(memory::Connection& c, int error) override;
    void on_timer(memory::Connection& c) override;

    bool is_local(int server) const { return server % of_ == number_; }
    void open(Server& s, bool cold);
    void close(Server& s);
    void handle_request(ProxyConnection& connection);
    bool accept_load(Server& s, double work);   // false: the server is overloaded
    double warmth(const Server& s) const;
    double work_of(uint64_t call, const Product& p) const;
    void start_jobs(Server& s);
    void finish_job(Server& s, Job job);
    void respond(ProxyConnection& connection, int status, std::string_view body, std::string_view fields = {});
    void end(ProxyConnection& connection, memory::CloseReason why, bool reset = false);
    const ActiveFault* active_fault(const Server& s, FaultKind kind) const;

    int number_, of_;
    lab::RandomStream chance_;
    std::vector<Server> servers_;
    std::vector<AttemptRecord> attempts_;
    std::vector<ConnectionRecord> connection_records_;
    std::vector<OverloadRecord> overloads_;
    std::map<uint64_t, int> job_servers_;   // server by timer cookie
    uint64_t next_job_ = 0;
};

}  // namespace myrtleroute::rig
