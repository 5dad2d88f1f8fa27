// A connection: its descriptor, a ring of bytes for each direction, and who acts on what it brings. It is
// its own timer.
#pragma once
#include <cstdint>
#include <string>

#include "memory/byte_ring.hpp"
#include "memory/timers.hpp"

namespace myrtleroute::memory {

// Why a connection ended, as its log line says.
#define MYRTLEROUTE_ENDS(X)                                                                                  \
    X(peer_closed) X(peer_reset) X(nobody_listens) X(connect_timed_out) X(answer_timed_out)                  \
    X(call_unfinished) X(unread) X(cancelled) X(bad_call) X(bad_answer) X(told_to_close) X(idle) X(silent)   \
    X(shed) X(server_left) X(stopping) X(no_list)

enum class CloseReason {
#define X(name) name,
    MYRTLEROUTE_ENDS(X)
#undef X
};
constexpr const char* code(CloseReason why) {
    constexpr const char* codes[] = {
#define X(name) #name,
        MYRTLEROUTE_ENDS(X)
#undef X
    };
    return codes[static_cast<int>(why)];
}
#undef MYRTLEROUTE_ENDS

struct Connection;

// The machine's side of a connection. The driver has moved the bytes before it calls.
class ConnectionHandler {
public:
    virtual ~ConnectionHandler() = default;
    virtual void on_readable(Connection&) = 0;               // bytes, or the other end's last (c.ended, or c.error)
    virtual void on_connected(Connection&) {}                   // it has come up
    virtual void on_written(Connection&) {}                 // all that was to be written is written
    virtual void on_error(Connection&, int error) = 0;   // also: never came up
    virtual void on_timer(Connection&) = 0;                // its timer
};

struct Connection : Timer {
    Connection(ConnectionHandler& by, int descriptor, size_t max_in, size_t max_out)
        : handler(&by), fd(descriptor), in(max_in), out(max_out) {}
    virtual ~Connection() = default;
    virtual std::string name() const = 0;   // in its log line

    ConnectionHandler* handler;
    int fd;
    ByteRing in, out;
    uint64_t number = 0;       // in the log
    size_t slot = 0;           // in the loop
    bool connecting = false;   // not up yet
    bool listens = false;      // the handler reads it itself
    bool ended = false;        // the other end sends no more
    int error = 0;             // it broke behind what is in `in`
    bool read_paused = false;         // no more is read of it
    bool detect_peer_close = false;   // that the other end has gone counts at once, even behind bytes that are not read
    bool open() const { return fd >= 0; }
};

}  // namespace myrtleroute::memory
