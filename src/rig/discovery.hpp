// The discovery stub: one list of servers for all proxies, in which each proxy gets the addresses of its own links,
// watches that are held until the list changes, and injected faults. It records each request and answer with its time.
#pragma once
#include <map>

#include "rig/part.hpp"

namespace myrtleroute::rig {

class Discovery : public Part {
public:
    Discovery(Experiment e, std::string directory, std::string name);

private:
    struct ProxyConnection;
    struct Entry {
        ListedState state = ListedState::serving;
        double boot = 0;     // Unix seconds; 0: long before the run
        int incarnation = 0;        // each has a name of its own
        uint16_t port = 0;
    };
    struct Change { Time at; int server; Entry entry; };

    void on_command(const std::string& word, std::istringstream& more) override;
    void timer_fired(uint64_t cookie) override;
    void write_results() override;
    void on_readable(memory::Connection& c) override;
    void on_error(memory::Connection& c, int error) override;
    void on_timer(memory::Connection& c) override;

    void open();
    void apply_change(int server, const Entry& entry);
    uint32_t visible() const;                      // the newest revision that is reported now, under `late` faults
    void answer(ProxyConnection& connection, bool even_unchanged);
    std::string format_list(int proxy, uint32_t from, uint32_t to, bool whole) const;
    void end(ProxyConnection& connection);

    uint16_t port_ = 0;
    Listener* listener_ = nullptr;
    std::vector<std::map<int, uint16_t>> ports_;   // by relay (proxy % relays; one without relays): port of each server
    std::vector<Change> changes_;                  // revision n contains the first n
    std::vector<Entry> current_;
    std::map<int, double> delays_;
    std::map<int, std::vector<int>> shrunk_;       // omitted servers, by fault
    int silent_faults_ = 0, absent_faults_ = 0;
    std::map<int, std::string> active_faults_;             // kinds of the active faults
    std::vector<ProxyConnection*> connections_;
    std::vector<DiscoveryRecord> records_;
    std::vector<ListRecord> list_;
};

}  // namespace myrtleroute::rig
