// The bytes of one direction of a connection: a ring that takes memory only while it holds something and
// never more than its limit.
#pragma once
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <memory>
#include <string_view>

namespace myrtleroute::memory {

class ByteRing {
public:
    explicit ByteRing(size_t limit) : limit_(limit) {}
    size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }
    bool full() const { return size_ == limit_; }

    // The parts that may be written to, then how much of them was; asking makes room for at least one byte
    // unless the ring is full.
    std::array<iovec, 2> writable_parts() {
        if (size_ == capacity_ && size_ < limit_) grow(size_ + 1);
        const size_t end = wrap(start_ + size_), free = capacity_ - size_;
        const size_t first = std::min(free, capacity_ - end);
        return {iovec{bytes_.get() + end, first}, iovec{bytes_.get(), free - first}};
    }
    void commit(size_t n) {
        size_ += n;
        if (empty()) release();
    }
    // The parts that hold bytes, then how many of them are done with.
    std::array<iovec, 2> readable_parts() {
        const size_t first = std::min(size_, capacity_ - start_);
        return {iovec{bytes_.get() + start_, first}, iovec{bytes_.get(), size_ - first}};
    }
    std::string_view front() const {
        return {bytes_.get() + start_, std::min(size_, capacity_ - start_)};
    }
    void drop(size_t n) {
        start_ = capacity_ ? wrap(start_ + n) : 0;
        size_ -= n;
        if (empty()) release();
    }
    bool push(std::string_view bytes) {
        if (bytes.size() > limit_ - size_) return false;
        if (bytes.empty()) return true;
        if (bytes.size() > capacity_ - size_) grow(size_ + bytes.size());
        const size_t end = wrap(start_ + size_), first = std::min(bytes.size(), capacity_ - end);
        std::memcpy(bytes_.get() + end, bytes.data(), first);
        std::memcpy(bytes_.get(), bytes.data() + first, bytes.size() - first);
        size_ += bytes.size();
        return true;
    }

private:
    static constexpr size_t min_capacity_ = 4096;
    size_t wrap(size_t at) const { return at >= capacity_ ? at - capacity_ : at; }
    void grow(size_t wanted) {
        const size_t bigger = std::min(limit_, std::max({wanted, 2 * capacity_, std::min(min_capacity_, limit_)}));
        auto fresh = std::make_unique_for_overwrite<char[]>(bigger);
        const auto held = readable_parts();
        if (size_) {
            std::memcpy(fresh.get(), held[0].iov_base, held[0].iov_len);
            std::memcpy(fresh.get() + held[0].iov_len, held[1].iov_base, held[1].iov_len);
        }
        bytes_ = std::move(fresh);
        capacity_ = bigger;
        start_ = 0;
    }
    void release() {
        bytes_.reset();
        capacity_ = start_ = 0;
    }
    std::unique_ptr<char[]> bytes_;
    size_t limit_, capacity_ = 0, start_ = 0, size_ = 0;
};

}  // namespace myrtleroute::memory
