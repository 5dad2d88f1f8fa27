// A connection: its descriptor, a ring buffer for each direction, and the handler of its events. It is
// its own timer.
#pragma once
#include <cstdint>
#include <string>

#include "memory/byte_ring.hpp"
#include "memory/timers.hpp"

namespace myrtleroute::memory {

// Why a connection was closed; the names are written to the log.
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

// Handles the events of connections. The loop has moved the bytes between socket and ring buffers before it calls.
class ConnectionHandler {
public:
    virtual ~ConnectionHandler() = default;
    virtual void on_readable(Connection&) = 0;           // bytes, end of stream (c.ended) or an error (c.error)
    virtual void on_connected(Connection&) {}            // a connect has succeeded
    virtual void on_written(Connection&) {}              // all pending output has been written
    virtual void on_error(Connection&, int error) = 0;   // an errno; also a failed connect
    virtual void on_timer(Connection&) = 0;              // the connection's timer has expired
};

struct Connection : Timer {
    Connection(ConnectionHandler& by, int descriptor, size_t max_in, size_t max_out)
        : handler(&by), fd(descriptor), in(max_in), out(max_out) {}
    virtual ~Connection() = default;
    virtual std::string name() const = 0;   // for the log

    ConnectionHandler* handler;
    int fd;
    ByteRing in, out;
    uint64_t number = 0;       // identifies the connection in the log
    size_t slot = 0;           // index in the loop's tables
    bool connecting = false;   // connect has not completed
    bool listens = false;      // a listener or the signal pipe: the handler reads the descriptor itself
    bool ended = false;        // end of stream: the peer sends no more
    int error = 0;             // errno of a failed read, which came after the bytes in `in`
    bool read_paused = false;  // the loop reads no more from it
    bool detect_peer_close = false;   // report the peer's close at once, even behind bytes that have not been read
    bool open() const { return fd >= 0; }
};

}  // namespace myrtleroute::memory
