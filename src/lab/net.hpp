// The virtual network: streams between sockets as TCP gives them to programs (RFC 9293), without packets.
// Modelled: latency with jitter and stalls, order within a direction, a window, partial writes, split and
// short reads, half-closes, resets (also in answer to bytes for a closed socket), refused and unanswered
// connects, full queues of listeners, machines cut off. Not modelled: loss as such (a stall stands for its
// resend), keep-alive, urgent data, simultaneous opens.
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

class SocketObserver {   // a stand-in, or a virtual system
public:
    virtual ~SocketObserver() = default;
    virtual void socket_changed(Socket& socket) = 0;   // something about it has changed
};

struct Machine {
    int number = 0;
    bool proxy = false;      // the tap hears of its sockets
    Time unreachable_until{};        // nothing comes or goes before
    double delay = 0;        // seconds more on everything that comes or goes
};

struct Socket : std::enable_shared_from_this<Socket> {
    enum class State { listening, connecting, up, reset };
    uint64_t number = 0;
    State state = State::connecting;
    Machine* here = nullptr;
    SocketObserver* observer = nullptr;
    uint64_t local = 0, remote = 0;    // address and port; a connecting side's own is 0
    Time accepted{};                   // when a listener's program took it
    Handle other;
    // What has come.
    std::string in;
    bool fin_in = false;
    int error = 0;                     // an errno, until it is asked for
    uint64_t got = 0, taken = 0, sent = 0;   // bytes come here, read here, written here
    // What is under way to here.
    struct Segment {
        enum class Kind { up, data, fin, reset } kind;
        std::string bytes;
    };
    std::deque<Segment> under_way;
    size_t bytes_under_way = 0;
    Time last{};                       // nothing overtakes what arrives then
    std::string unsent;                // of a stand-in's, that waits for room
    bool fin_out = false, closed = false, starved = false;
    // A listener's.
    std::deque<Handle> waiting;
    size_t most_waiting = 128;
};

class Tap {   // hears of a proxy's sockets, at the moment at which the proxy acts
public:
    virtual ~Tap() = default;
    virtual void wrote(Socket&, std::string_view bytes) = 0;
    virtual void took(Socket&, std::string_view bytes) = 0;   // were read
    virtual void came(Socket&) = 0;            // bytes have come and may be read
    virtual void closing(Socket&) = 0;         // by the proxy, or at its end
    virtual void opened(Socket&) = 0;          // a connect of the proxy's begins
};

constexpr uint64_t address_of(uint32_t ip, uint16_t port) { return static_cast<uint64_t>(ip) << 16 | port; }

class Net {
public:
    Net(Queue& queue, uint64_t seed) : queue_(queue), chance_(seed, 0x4e4554) {}
    ~Net();
    void tapped_by(Tap& tap) { tap_ = &tap; }
    double rough = 0;   // share of writes, reads and segments that are cut short, split or stalled
    size_t window = 128 * 1024;   // bytes that may be under way or unread

    Handle listen(Machine& here, SocketObserver& observer, uint64_t at);   // null: it is taken
    Handle connect(Machine& here, SocketObserver& observer, uint64_t to);
    Handle accept(Socket& listener);                       // null: none waits; its observer is to be set
    ssize_t read(Socket& s, char* into, size_t n);         // as read(2); 0 = the end, -1 with errno
    std::string read_all(Socket& s);
    ssize_t write(Socket& s, std::string_view bytes, Time arrives = {});   // as write(2), not before `arrives`
    void send(Socket& s, std::string_view bytes, Time arrives = {});   // all of it, as room comes up
    void shutdown_write(Socket& s, Time arrives = {});
    void close(Socket& s, Time arrives = {});              // resets if bytes are left unread
    void reset(Socket& s);                                 // resets
    void vanish(Socket& s);                                // ends without a word; what comes is reset
    size_t room(const Socket& s) const;                    // that a write has now
    Machine* machine_at(uint64_t address) const;
    uint64_t resets() const { return resets_; }

private:
    Span latency(const Machine& a, const Machine& b);
    void put(Socket& to, Socket::Segment segment, Time arrives = {});
    void arrive(const Handle& to);
    void send_rest(Socket& s, size_t most, Time arrives = {});
    void knock(const Handle& from);
    void hear(Socket& s);
    void let_go(Socket& s);

    Queue& queue_;
    RandomStream chance_;
    Tap* tap_ = nullptr;
    std::map<uint64_t, Handle> listeners_;
    std::set<Socket*> paired_;   // the two ends of a stream hold each other
    uint64_t next_ = 1, resets_ = 0;
};

}  // namespace myrtleroute::lab
