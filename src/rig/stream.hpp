// One direction of a link: what a fault does to the bytes that pass. Fed bytes and the time, it gives back what may
// go on by then; it knows no socket. Order is kept, as TCP keeps it: what is lost comes later.
#pragma once
#include <algorithm>
#include <deque>
#include <string>
#include <string_view>

#include "lab/random_stream.hpp"
#include "time.hpp"

namespace myrtleroute::rig {

// What befalls a direction; faults that overlap add up.
struct Treatment {
    double delay = 0, jitter = 0;   // seconds
    double rate = 0;                // bytes a second; 0: no bound
    double loss = 0, mangle = 0, half_close = 0, duplicate = 0;   // shares of the pieces
    bool stall = false, cut = false, hard = false;
    bool holds() const { return stall || cut; }
    bool none() const {
        return delay <= 0 && jitter <= 0 && rate <= 0 && loss <= 0 && mangle <= 0 && half_close <= 0 && duplicate <= 0 &&
               !holds() && !hard;
    }
    void add(const Treatment& o) {
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

constexpr Span resend_after{0.2};          // the least that Linux waits before it sends lost bytes again, then twice that
constexpr size_t most_held = 256 * 1024;   // bytes under way; more wait at the sender

class Stream {
public:
    enum class Event { none, ends, breaks };   // after the bytes: no more come, or a reset

    // `room()` bytes at most. The sender's end comes after what it sent.
    size_t room() const { return most_held - held_; }
    void take(Time now, std::string_view bytes, const Treatment& t, lab::RandomStream& chance) {
        if (over_) return;
        Piece piece{arrival(now, bytes.size(), t, chance), std::string(bytes), Event::none};
        if (t.mangle > 0 && chance.bernoulli(t.mangle)) {
            // From the middle of what is under way, so that the receiver sees a message with a hole, then the reset.
            piece.bytes.erase(piece.bytes.size() / 3, piece.bytes.size() / 3);
            piece.then = Event::breaks;
        } else if (t.half_close > 0 && chance.bernoulli(t.half_close)) {
            piece.then = Event::ends;
        }
        over_ = piece.then != Event::none;
        held_ += piece.bytes.size();
        pieces_.push_back(std::move(piece));
    }
    void end(Time now, const Treatment& t, lab::RandomStream& chance, Event how) {
        if (over_) return;
        over_ = true;
        pieces_.push_back({arrival(now, 0, t, chance), "", how});
    }
    bool empty() const { return pieces_.empty(); }
    Time next() const { return pieces_.front().at; }   // when the first of what is held may pass
    size_t next_size() const { return pieces_.front().bytes.size(); }
    // The next piece that may pass by then; false: none.
    bool give(Time now, const Treatment& t, std::string& bytes, Event& then) {
        if (pieces_.empty() || t.holds() || pieces_.front().at > now) return false;
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
    Time arrival(Time now, size_t size, const Treatment& t, lab::RandomStream& chance) {
        Time at = now + Span{t.delay + (t.jitter > 0 ? t.jitter * chance.uniform() : 0)};
        if (t.loss > 0)
            for (Span wait = resend_after; wait.s < 7 && chance.bernoulli(t.loss); wait = wait * 2) at = at + wait;
        if (t.rate > 0) {
            sent_ = std::max(sent_, now) + Span{static_cast<double>(size) / t.rate};
            at = std::max(at, sent_ + Span{t.delay});
        }
        return last_ = std::max(last_, at);
    }
    std::deque<Piece> pieces_;
    size_t held_ = 0;
    bool over_ = false;
    Time last_ = long_ago, sent_ = long_ago;
};

}  // namespace myrtleroute::rig
