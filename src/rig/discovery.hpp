// The discovery stand-in: one list of servers for all proxies, each told its own links' addresses, watches that hang
// until something changes, and the ways in which it fails. It writes down what was told to whom, and when.
#pragma once
#include <map>

#include "rig/part.hpp"

namespace myrtleroute::rig {

class Discovery : public Part {
public:
    Discovery(Experiment e, std::string directory, std::string name);

private:
    struct Line;
    struct Entry {
        Listed state = Listed::serving;
        double boot = 0;     // Unix seconds; 0: long ago
        int life = 0;        // a new one, a new name
        uint16_t port = 0;
    };
    struct Change { Time at; int server; Entry entry; };

    void told(const std::string& word, std::istringstream& more) override;
    void woken(uint64_t cookie) override;
    void finish() override;
    void on_readable(memory::Connection& c) override;
    void on_error(memory::Connection& c, int error) override;
    void on_timer(memory::Connection& c) override;

    void open();
    void put(int server, const Entry& entry);
    uint32_t visible() const;                      // the newest revision that is told by now
    void answer(Line& line, bool anyway);
    std::string words(int proxy, uint32_t from, uint32_t to, bool whole) const;
    void end(Line& line);

    uint16_t port_ = 0;
    Listener* listener_ = nullptr;
    std::vector<std::map<int, uint16_t>> ports_;   // by proxy % relays: of each server; without relays one
    std::vector<Change> changes_;                  // revision n is the first n of them
    std::vector<Entry> now_;
    std::map<int, double> late_;
    std::map<int, std::vector<int>> shrunk_;       // servers that are left out, by fault
    int silent_ = 0, absent_ = 0;
    std::map<int, std::string> kinds_;             // of the faults that are on
    std::vector<Line*> lines_;
    std::vector<ToldRecord> told_;
    std::vector<ListRecord> list_;
};

}  // namespace myrtleroute::rig
