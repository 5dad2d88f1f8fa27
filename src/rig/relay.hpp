// The relay: a process between the parties of many links, TCP and UDP. What connects to a link's address is carried
// on to the party behind it, each direction under the faults that are on for that link.
#pragma once
#include <map>
#include <memory>
#include <unordered_map>

#include "lab/random_stream.hpp"
#include "rig/part.hpp"
#include "rig/stream.hpp"

namespace myrtleroute::rig {

class Relay : public Part {
public:
    Relay(Experiment e, std::string directory, std::string name, int number, int of);
    ~Relay() override;

private:
    struct Rule {
        Kind kind;
        Way way;
        std::vector<bool> from, to;
        Treatment treatment;
    };
    struct Backend {
        uint16_t port = 0;                 // ours, that stands for it
        sockaddr_in at{};                  // its own; address 0: the link's
        Listener* listener = nullptr;
    };
    struct Pair;
    struct End;
    struct Door;

    void told(const std::string& word, std::istringstream& more) override;
    void woken(uint64_t cookie) override;
    void finish() override;
    void on_readable(memory::Connection& c) override;
    void on_written(memory::Connection& c) override;
    void on_error(memory::Connection& c, int error) override;
    void on_timer(memory::Connection& c) override;

    void open(Kind kind, uint16_t to, Backend& backend);
    void accept(Door& door);
    void connect(Pair& pair);
    void pull(Pair& pair, int way);        // from the sender's ring into the stream
    void give(Pair& pair, int way);        // what may pass, on to the receiver
    void finish_sending(End& end);
    void drop(Pair& pair, bool reset);
    void rules_changed();
    void cut_off(bool cuts, const Rule& rule);
    const Treatment& treatment(Pair& pair, int way);
    Treatment treatment_of(const Link& link, int way) const;
    void datagrams_came();
    bool mine(const Link& link) const;

    int number_, of_;
    lab::RandomStream chance_;
    std::map<int, Rule> rules_;
    uint64_t rules_seen_ = 1;
    std::map<std::pair<int, int>, Backend> backends_;   // by kind and party
    std::unordered_map<Pair*, std::unique_ptr<Pair>> pairs_;
    std::map<uint32_t, std::pair<int, int>> deaf_;      // listener and how many rules cut it, by the link's address
    Listener* datagrams_ = nullptr;
    std::map<uint16_t, uint16_t> peers_;                // datagram port of each proxy
    uint16_t datagram_port_ = 0;
    struct Late { sockaddr_in from, to; std::string bytes; };
    std::map<uint64_t, Late> late_;                     // datagrams under way, by cookie
    uint64_t next_late_ = 0;
    uint64_t bytes_ = 0, connections_ = 0, datagram_count_ = 0, lost_ = 0;
    size_t most_pairs_ = 0;
};

}  // namespace myrtleroute::rig
