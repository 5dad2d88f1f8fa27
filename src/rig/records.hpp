// Records that the rig's processes write during a run and the judge reads: fixed size, one file for each process and kind.
// All times are seconds of the machine's monotonic clock, so that records of several processes can be compared.
#pragma once
#include <cstdint>
#include <cstdio>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <vector>

namespace myrtleroute::rig {

enum class CallOutcome : uint8_t {
    answered,
    not_connected,
    disconnected,
    timed_out,
    wrong   // a body that no server sent
};
struct CallRecord {
    uint64_t call;
    double due, sent, ended;   // scheduled; request sent; response complete or call abandoned
    uint16_t product, status;  // HTTP status; 0: no answer
    CallOutcome end;
    uint8_t tries;             // 2: sent again, as the proxy was closing the first connection
};

enum class AttemptOutcome : uint8_t {
    queued,
    running,
    executed,
    refused,
    failed_before_execution,
    failed_after_execution,
    dropped
};
struct AttemptRecord {
    uint64_t call;             // 0: a probe
    double began, received, ended;   // first and last byte received; answered, or its connection closed
    double executed;           // when its effect took place; 0: never
    float work;                // seconds
    uint16_t server, proxy;
    AttemptOutcome outcome;
    bool answered;
};
struct ConnectionRecord { double at, ended; uint16_t server, proxy; };   // ended 0: open until the end of the run
struct OverloadRecord { double from, at; uint16_t server; };   // overloaded by the work received since `from`

// A call to discovery (request), or its answer with the list's revision; revision 0: the call ended without an answer.
struct DiscoveryRecord { double at; uint32_t rev; uint16_t proxy; bool request; };
enum class ListedState : uint8_t { serving, draining, removed };
struct ListRecord { double at; double boot; uint32_t rev; uint16_t server, incarnation; ListedState state; };

struct StarvedRecord { double from, to; };   // a process of the rig was not scheduled in time

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
