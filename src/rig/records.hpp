// What the rig's processes write down during a run, for the judge: fixed records in files of their own. All times
// are of the one steady clock of the machine, so that records of several processes can be compared.
#pragma once
#include <cstdint>
#include <cstdio>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <vector>

namespace myrtleroute::rig {

enum class CallEnd : uint8_t { answered, not_connected, broken, unanswered, wrong };   // wrong: what no server made
struct CallRecord {
    uint64_t call;
    double due, sent, ended;   // when it was to come, its last byte went, its last byte came back or it was given up
    uint16_t product, status;  // 0: no answer
    CallEnd end;
    uint8_t tries;             // 2: sent again, for the proxy was closing the first connection
};

enum class Fate : uint8_t { waits, runs, executed, refused, failed_unrun, failed_run, dropped };
struct ShotRecord {
    uint64_t call;             // 0: a probe
    double began, whole, ended;   // first and last byte came; answered, or its connection seen closed
    double executed;           // when its effect was done; 0: never
    float work;                // seconds
    uint16_t server, proxy;
    Fate fate;
    bool answered;
};
struct ConnectionRecord { double at, ended; uint16_t server, proxy; };   // ended 0: open to the end
struct TipRecord { double from, at; uint16_t server; };   // pushed over by what came since `from`

// A call came (asked), or the list went; revision 0: the call ended with nothing told.
struct ToldRecord { double at; uint32_t rev; uint16_t proxy; bool asked; };
enum class Listed : uint8_t { serving, draining, gone };
struct ListRecord { double at; double boot; uint32_t rev; uint16_t server, life; Listed state; };

struct StarvedRecord { double from, to; };   // a process of the rig was not given the processor when it was due

template <class Record>
void write_records(const std::string& path, const std::vector<Record>& all) {
    static_assert(std::is_trivially_copyable_v<Record>);
    std::FILE* file = std::fopen(path.c_str(), "wb");
    const bool whole = file && (all.empty() || std::fwrite(all.data(), sizeof(Record), all.size(), file) == all.size());
    if ((file && std::fclose(file) != 0) || !whole) throw std::runtime_error(path + " can't be written");
}

template <class Record>
void read_records(const std::string& path, std::vector<Record>& all) {
    std::FILE* file = std::fopen(path.c_str(), "rb");
    if (!file) throw std::runtime_error(path + " can't be read");
    Record r;
    while (std::fread(&r, sizeof r, 1, file) == 1) all.push_back(r);
    std::fclose(file);
}

}  // namespace myrtleroute::rig
