// Bytes that code holds of the heap, counted while one of these lives: what it allocates counts up, what it
// frees counts down. Only where the program's allocator is interposed (held_bytes.cpp); else it stays at 0.
#pragma once
#include <cstddef>

namespace myrtleroute::lab {

class HeldBytes {
public:
    explicit HeldBytes(ptrdiff_t& bytes);
    ~HeldBytes();
    HeldBytes(const HeldBytes&) = delete;

private:
    ptrdiff_t* before_;
};

// While one of these lives, nothing counts: the lab's own work inside of a proxy's.
class NotHeld {
public:
    NotHeld();
    ~NotHeld();
    NotHeld(const NotHeld&) = delete;

private:
    ptrdiff_t* before_;
};

}  // namespace myrtleroute::lab
