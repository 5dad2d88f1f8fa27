// One direction of a link under faults: takes bytes with the time of their arrival and returns those that may be
// forwarded by a given time. Independent of sockets. Order is kept, as in TCP: lost bytes arrive later.
#pragma once
#include <algorithm>
#include <deque>
#include <string>
#include <string_view>

#include "lab/random_stream.hpp"
#include "time.hpp"

namespace myrtleroute::rig {

// Effects of faults on one direction; effects of overlapping faults are combined by add().
struct Impairment {
    double delay = 0, jitter = 0;   // seconds
    double rate = 0;                // bytes per second; 0: unlimited
    double loss = 0, mangle = 0, half_close = 0, duplicate = 0;   // probability for each piece
    bool stall = false, cut = false, hard = false;
    bool blocks() const { return stall || cut; }
    bool none() const {
        return delay <= 0 && jitter <= 0 && rate <= 0 && loss <= 0 && mangle <= 0 && half_close <= 0 && duplicate <= 0 &&
               !blocks() && !hard;
    }
    void add(const Impairment& o) {
        delay += o.delay;
        jitter += o.jitter;
        rate = rate > 0 && o.rate > 0 ? std::min(rate, o.rate) : std::max(rate, o.rate);
        loss = std::max(loss, o.loss);
        mangle = std::max(mangle, o.mangle);
        half_close = std::max(half_close, o.half_close);
        duplicate = std::max(duplicate, o.duplicate);
        stall |= o.stall;
        cut |= o.cut;
        hard |= o.hard;
    }
};

constexpr Span retransmission_timeout{0.2};          // Linux' minimum retransmission timeout; doubled for each loss
constexpr size_t max_in_flight = 256 * 1024;   // bytes in flight; more wait at the sender

class Stream {
public:
    enum class Event { none, eof, reset };   // follows the bytes: end of stream, or a connection reset

    // Takes at most `room()` bytes. The end of the stream follows the bytes that were sent before it.
    size_t room() const { return max_in_flight - held_; }
    void push(Time now, std::string_view bytes, const Impairment& t, lab::RandomStream& chance) {
        if (closed_) return;
        Piece piece{arrival(now, bytes.size(), t, chance), std::string(bytes), Event::none};
        if (t.mangle > 0 && chance.bernoulli(t.mangle)) {
            // Drops bytes from the middle, so that the receiver sees a message with a gap, then the reset.
            piece.bytes.erase(piece.bytes.size() / 3, piece.bytes.size() / 3);
            piece.then = Event::reset;
        } else if (t.half_close > 0 && chance.bernoulli(t.half_close)) {
            piece.then = Event::eof;
        }
        closed_ = piece.then != Event::none;
        held_ += piece.bytes.size();
        pieces_.push_back(std::move(piece));
    }
    void end(Time now, const Impairment& t, lab::RandomStream& chance, Event how) {
        if (closed_) return;
        closed_ = true;
        pieces_.push_back({arrival(now, 0, t, chance), "", how});
    }
    bool empty() const { return pieces_.empty(); }
    Time next() const { return pieces_.front().at; }   // when the first held piece may pass
    size_t next_size() const { return pieces_.front().bytes.size(); }
    // Returns the next piece that may pass by `now`; false: none.
    bool pop(Time now, const Impairment& t, std::string& bytes, Event& then) {
        if (pieces_.empty() || t.blocks() || pieces_.front().at > now) return false;
        bytes = std::move(pieces_.front().bytes);
        then = pieces_.front().then;
        held_ -= bytes.size();
        pieces_.pop_front();
        return true;
    }

private:
    struct Piece {
        Time at;
        std::string bytes;
        Event then;
    };
    Time arrival(Time now, size_t size, const Impairment& t, lab::RandomStream& chance) {
        Time at = now + Span{t.delay + (t.jitter > 0 ? t.jitter * chance.uniform() : 0)};
        if (t.loss > 0)
            for (Span wait = retransmission_timeout; wait.s < 7 && chance.bernoulli(t.loss); wait = wait * 2)
                at = at + wait;
        if (t.rate > 0) {
            sent_ = std::max(sent_, now) + Span{static_cast<double>(size) / t.rate};
            at = std::max(at, sent_ + Span{t.delay});
        }
        return last_ = std::max(last_, at);
    }
    std::deque<Piece> pieces_;
    size_t held_ = 0;
    bool closed_ = false;
    Time last_ = long_ago, sent_ = long_ago;
};

}  // namespace myrtleroute::rig
