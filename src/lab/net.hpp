// Virtual network: byte streams between sockets with the behaviour of TCP that programs see (RFC 9293), without
// packets. Modelled: latency with jitter and stalls, order within a direction, a window, partial writes, split and
// short reads, half-closes, resets (also in reply to data for a closed socket), refused and unanswered connects,
// full accept backlogs, unreachable machines. Not modelled: packet loss itself (a stall stands for the
// retransmission), keep-alive, urgent data, simultaneous opens.
#pragma once
#include <sys/types.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "lab/random_stream.hpp"
#include "lab/queue.hpp"

namespace myrtleroute::lab {

struct Socket;
using Handle = std::shared_ptr<Socket>;

// Gets the events of its sockets: a simulated client, server or discovery, or the virtual system of a proxy.
class SocketObserver {
public:
    virtual ~SocketObserver() = default;
    virtual void socket_changed(Socket& socket) = 0;   // its state, its input or its room for writes
};

struct Machine {
    int number = 0;
    bool proxy = false;         // calls on its sockets are reported to the tap
    Time unreachable_until{};   // nothing arrives here or leaves before then
    double delay = 0;           // s, additional latency in both directions
};

struct Socket : std::enable_shared_from_this<Socket> {
    enum class State { listening, connecting, established, reset };
    uint64_t number = 0;
    State state = State::connecting;
    Machine* machine = nullptr;
    SocketObserver* observer = nullptr;
    uint64_t local = 0, remote = 0;   // address_of(ip, port); local is 0 on the connecting side
    Time accepted_at{};               // when the listening process accepted it
    Handle peer;
    // Input that has arrived.
    std::string in;
    bool fin_in = false;
    int error = 0;                                                 // errno, cleared when it is read
    uint64_t bytes_received = 0, bytes_read = 0, bytes_sent = 0;   // totals of this socket
    // In flight to this socket.
    struct Segment {
        enum class Kind { up, data, fin, reset } kind;
        std::string bytes;
    };
    std::deque<Segment> in_flight;
    size_t bytes_in_flight = 0;
    Time last_arrival{};   // arrival time of the last segment; later ones never arrive earlier
    std::string unsent;    // output of Net::send() that waits for room
    bool fin_out = false, closed = false, write_blocked = false;
    // For listeners: connections not yet accepted.
    std::deque<Handle> backlog;
    size_t max_backlog = 128;
};

// Gets every call and event on the sockets of proxies, at the moment at which the proxy acts.
class Tap {
public:
    virtual ~Tap() = default;
    virtual void was_written(Socket&, std::string_view bytes) = 0;
    virtual void was_read(Socket&, std::string_view bytes) = 0;   // by the proxy
    virtual void bytes_arrived(Socket&) = 0;                      // data has arrived and may be read
    virtual void closing(Socket&) = 0;                            // by the proxy, or because its process ends
    virtual void connect_started(Socket&) = 0;                    // the proxy starts a connect
};

constexpr uint64_t address_of(uint32_t ip, uint16_t port) { return static_cast<uint64_t>(ip) << 16 | port; }

// All calls take effect on the virtual clock of `queue`; `seed` determines all latencies and disturbances.
class Net {
public:
    Net(Queue& queue, uint64_t seed) : queue_(queue), random_(seed, 0x4e4554) {}
    ~Net();
    void set_tap(Tap& tap) { tap_ = &tap; }
    double disturbed_share = 0;   // share of writes, reads and segments that are cut short, split or stalled
    size_t window = 128 * 1024;   // bytes that may be in flight or unread

    Handle listen(Machine& here, SocketObserver& observer, uint64_t at);   // null: the address is in use
    Handle connect(Machine& here, SocketObserver& observer, uint64_t to);
    Handle accept(Socket& listener);                 // null: none waits; the caller sets its observer
    ssize_t read(Socket& s, char* into, size_t n);   // as read(2): 0 = end of stream, -1 sets errno
    std::string read_all(Socket& s);
    ssize_t write(Socket& s, std::string_view bytes, Time arrives = {});   // as write(2); arrives not before `arrives`
    void send(Socket& s, std::string_view bytes, Time arrives = {});   // all of it, as room becomes free
    void shutdown_write(Socket& s, Time arrives = {});
    void close(Socket& s, Time arrives = {});   // sends a reset if input is left unread
    void reset(Socket& s);                      // sends a reset to the peer
    void vanish(Socket& s);                     // loses all state without a word to the peer; later data is reset
    size_t room(const Socket& s) const;         // bytes that a write would take now
    Machine* machine_at(uint64_t address) const;   // machine of the listener; null: none
    uint64_t resets() const { return resets_; }

private:
    Span latency(const Machine& a, const Machine& b);
    void enqueue(Socket& to, Socket::Segment segment, Time arrives = {});
    void arrive(const Handle& to);
    void send_rest(Socket& s, size_t max, Time arrives = {});
    void try_connect(const Handle& from);
    void notify(Socket& s);
    void unpair(Socket& s);

    Queue& queue_;
    RandomStream random_;
    Tap* tap_ = nullptr;
    std::map<uint64_t, Handle> listeners_;
    std::set<Socket*> paired_;   // the two ends of a stream hold each other
    uint64_t next_ = 1, resets_ = 0;
};

}  // namespace myrtleroute::lab
