// Bytes that code holds of the heap, counted while one of these lives: what it allocates counts up, what it
// frees counts down. Only where the program's allocator is interposed (held_bytes.cpp); else it stays at 0.
#pragma once
#include <cstddef>

namespace myrtleroute::lab {

class HeapCounter {
public:
    explicit HeapCounter(ptrdiff_t& bytes);
    ~HeapCounter();
    HeapCounter(const HeapCounter&) = delete;

private:
    ptrdiff_t* previous_;
};

// While one of these lives, nothing counts: the lab's own work inside of a proxy's.
class HeapCounterPause {
public:
    HeapCounterPause();
    ~HeapCounterPause();
    HeapCounterPause(const HeapCounterPause&) = delete;

private:
    ptrdiff_t* previous_;
};

}  // namespace myrtleroute::lab
