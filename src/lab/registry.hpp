// The true list of servers over time, and the words of discovery about it.
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
    Time launched{};      // 0: long ago
};

class Registry {
public:
    // What is true: it is told, also while the list lies about the others.
    void put(Time at, const Entry& entry);
    // From now on a part of what stands is called gone, until the truth is told again.
    void lies(Time at, double part);
    void tells_truth(Time at);
    uint64_t rev() const { return changes_.size(); }
    // Those that stand after the first `rev` changes, or the changes from there on; the latest of each uid.
    std::vector<Entry> standing(uint64_t rev) const;
    std::vector<Entry> changed(uint64_t from, uint64_t to) const;
    uint64_t rev_at(Time at) const;   // what was known then

    static std::string words(uint64_t rev, bool whole, const std::vector<Entry>& entries);
    static std::vector<Oracle::Told> told(const std::vector<Entry>& entries);

private:
    struct Change {
        Time at;
        Entry entry;
    };
    std::vector<Change> changes_;
    std::map<std::string, Entry> denied_;   // by uid, as it truly is
};

// Discovery at one address: a thing that answers calls for the list and holds watches. `first` is what it
// numbers its lists from, so that another one's numbers mean nothing here.
class Discovery : public SocketObserver {
public:
    Discovery(Site& site, Registry& registry, int number, uint64_t first);
    ~Discovery() override;
    void opens();                         // takes calls
    void closes_soon();                   // takes no more, and ends what is open in 1.5 s
    void changed();                       // the registry has
    void begins(const Fault& fault);
    void ends(const Fault& fault);
    void socket_changed(Socket& socket) override;
    bool has(int proxy, const Socket& proxys_end) ;   // tells the oracle what has come there
    bool watched(int proxy) const;
    uint32_t ip() const { return discovery_ip + 1 + static_cast<uint32_t>(number_); }

private:
    struct Call;
    bool on(FaultKind kind) const { return on_[static_cast<size_t>(kind)] > 0; }
    uint64_t visible() const;             // the newest change that it tells by now
    void answer(Call& call, bool anyway);
    void say(Call& call, const std::string& text);
    void end(uint64_t socket, bool reset = false);

    Site& site_;
    Registry& registry_;
    int number_;
    uint64_t first_;
    Machine machine_;
    RandomStream chance_;
    Handle listener_;
    bool open_ = false;
    double late_ = 0;
    std::array<int, static_cast<size_t>(FaultKind::kinds)> on_{};
    std::map<uint64_t, std::unique_ptr<Call>> calls_;   // by socket
};

}  // namespace myrtleroute::lab
