// The true list of servers over time, and a simulated discovery service that publishes it.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "lab/oracle.hpp"

namespace myrtleroute::lab {

struct Entry {
    int server = 0;
    std::string uid;
    enum class State { serving, draining, deleted } state = State::serving;
    Time launched{};   // 0 = long ago
};

class Registry {
public:
    // Adds a true change; it is published even while hide() is in effect for other servers.
    void put(Time at, const Entry& entry);
    // Lists the given share of the servers as gone until restore(), although they are not.
    void hide(Time at, double part);
    void restore(Time at);
    uint64_t rev() const { return changes_.size(); }
    // The servers listed after the first `rev` changes, and the changes between two revisions; the latest of each uid.
    std::vector<Entry> listed_at(uint64_t rev) const;
    std::vector<Entry> changes_between(uint64_t from, uint64_t to) const;
    uint64_t rev_at(Time at) const;   // revision at that time

    static std::string to_json(uint64_t rev, bool whole, const std::vector<Entry>& entries);
    static std::vector<Oracle::ListedServer> to_listed(const std::vector<Entry>& entries);

private:
    struct Change {
        Time at;
        Entry entry;
    };
    std::vector<Change> changes_;
    std::map<std::string, Entry> hidden_;   // by uid, with the true state
};

// Discovery service at one address: answers requests for the list and holds watches (long polls). Its revisions are
// numbered from `first`, so that a revision of another discovery service is meaningless here.
class Discovery : public SocketObserver {
public:
    Discovery(Site& site, Registry& registry, int number, uint64_t first);
    ~Discovery() override;
    void open();               // accepts requests
    void close_soon();         // accepts no more, and closes open requests after 1.5 s
    void registry_changed();   // answers the watches
    void fault_begins(const Fault& fault);
    void fault_ends(const Fault& fault);
    void socket_changed(Socket& socket) override;
    bool bytes_arrived(int proxy, const Socket& proxys_end);   // reports lists that arrived to the oracle
    bool is_watched_by(int proxy) const;
    uint32_t ip() const { return discovery_ip + 1 + static_cast<uint32_t>(number_); }

private:
    struct Call;
    bool is_active(FaultKind kind) const { return active_[static_cast<size_t>(kind)] > 0; }
    uint64_t visible_revision() const;   // newest change that is published by now
    void answer(Call& call, bool even_if_unchanged);
    void send(Call& call, const std::string& text);
    void close_call(uint64_t socket, bool reset = false);

    Site& site_;
    Registry& registry_;
    int number_;
    uint64_t first_revision_;
    Machine machine_;
    RandomStream random_;
    Handle listener_;
    bool open_ = false;
    double list_delay_ = 0;
    std::array<int, static_cast<size_t>(FaultKind::kinds)> active_{};
    std::map<uint64_t, std::unique_ptr<Call>> calls_;   // by socket number
};

}  // namespace myrtleroute::lab
