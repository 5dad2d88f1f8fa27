// The relay: a process between the parties of many links, TCP and UDP. Connections to a link's address are forwarded to
// the party behind it, each direction under the active faults of that link.
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
    struct LinkRule {
        Kind kind;
        Way way;
        std::vector<bool> from, to;
        Impairment impairment;
    };
    struct Backend {
        uint16_t port = 0;                 // port of the relay for this party
        sockaddr_in at{};                  // address of the party; IP 0: the link's own IP
        Listener* listener = nullptr;
    };
    struct Pair;
    struct End;
    struct LinkListener;

    void on_command(const std::string& word, std::istringstream& more) override;
    void timer_fired(uint64_t cookie) override;
    void write_results() override;
    void on_readable(memory::Connection& c) override;
    void on_written(memory::Connection& c) override;
    void on_error(memory::Connection& c, int error) override;
    void on_timer(memory::Connection& c) override;

    void open(Kind kind, uint16_t to, Backend& backend);
    void accept(LinkListener& listener);
    void connect(Pair& pair);
    void read_into_stream(Pair& pair, int way);        // moves bytes from the sender's buffer into the stream
    void forward(Pair& pair, int way);        // sends the bytes that may pass to the receiver
    void finish_sending(End& end);
    void drop(Pair& pair, bool reset);
    void rules_changed();
    void update_cut(bool cuts, const LinkRule& rule);
    const Impairment& impairment(Pair& pair, int way);
    Impairment impairment_of(const Link& link, int way) const;
    void datagrams_came();
    bool mine(const Link& link) const;

    int number_, of_;
    lab::RandomStream chance_;
    std::map<int, LinkRule> rules_;
    uint64_t rules_version_ = 1;
    std::map<std::pair<int, int>, Backend> backends_;   // by kind and party
    std::unordered_map<Pair*, std::unique_ptr<Pair>> pairs_;
    std::map<uint32_t, std::pair<int, int>>
        unresponsive_;   // listener and number of rules that cut the link, by its address
    Listener* datagrams_ = nullptr;
    std::map<uint16_t, uint16_t> peers_;                // datagram port of each proxy
    uint16_t datagram_port_ = 0;
    struct DelayedDatagram { sockaddr_in from, to; std::string bytes; };
    std::map<uint64_t, DelayedDatagram> delayed_;                     // datagrams in flight, by timer cookie
    uint64_t next_delayed_ = 0;
    uint64_t bytes_ = 0, connections_ = 0, datagram_count_ = 0, lost_ = 0;
    size_t max_pairs_ = 0;
};

}  // namespace myrtleroute::rig
