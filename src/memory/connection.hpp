// A connection: its descriptor, a ring of bytes for each direction, and who acts on what it brings. It is
// its own timer.
#pragma once
#include <cstdint>
#include <string>

#include "memory/byte_ring.hpp"
#include "memory/timers.hpp"

namespace myrtleroute::memory {

// Why a connection ended, as its log line says.
enum class Why { peer_closed, peer_reset, refused, connect_timed_out, answer_timed_out, request_timed_out,
                 unread, cancelled, bad_request, bad_answer, told_to_close, idle, silent, shed, server_left,
                 stopping, failed };
constexpr const char* code(Why why) {
    constexpr const char* codes[] = {"peer_closed", "peer_reset", "refused", "connect_timed_out",
                                     "answer_timed_out", "request_timed_out", "unread", "cancelled",
                                     "bad_request", "bad_answer", "told_to_close", "idle", "silent",
                                     "shed", "server_left", "stopping", "failed"};
    return codes[static_cast<int>(why)];
}

struct Connection;

// The machine's side of a connection. The driver has moved the bytes before it calls.
class Owner {
public:
    virtual ~Owner() = default;
    virtual void came(Connection&) = 0;               // bytes, or the other end's last (c.ended)
    virtual void went(Connection&) {}                 // all that was to be written is written
    virtual void broke(Connection&, int error) = 0;   // also: never came up
    virtual void due(Connection&) = 0;                // its timer
};

struct Connection : Timer {
    Connection(Owner& by, int descriptor, size_t most_in, size_t most_out)
        : owner(&by), fd(descriptor), in(most_in), out(most_out) {}
    virtual ~Connection() = default;
    virtual std::string name() const = 0;   // in its log line

    Owner* owner;
    int fd;
    ByteRing in, out;
    uint64_t number = 0;       // in the log
    size_t slot = 0;           // in the loop
    bool connecting = false;   // not up yet
    bool listens = false;      // the owner reads it itself
    bool ended = false;        // the other end sends no more
    bool open() const { return fd >= 0; }
};

}  // namespace myrtleroute::memory
