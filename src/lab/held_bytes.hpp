// Counts the heap bytes that code of this thread holds.
#pragma once
#include <cstddef>

namespace myrtleroute::lab {

// While one exists, `bytes` grows by what this thread allocates and shrinks by what it frees. Works only where
// operator new and delete are replaced (held_bytes.cpp); otherwise the count stays at 0.
class HeapCounter {
public:
    explicit HeapCounter(ptrdiff_t& bytes);
    ~HeapCounter();
    HeapCounter(const HeapCounter&) = delete;

private:
    ptrdiff_t* previous_;
};

// While one exists, nothing is counted: used where the lab allocates for itself during a call from a proxy.
class HeapCounterPause {
public:
    HeapCounterPause();
    ~HeapCounterPause();
    HeapCounterPause(const HeapCounterPause&) = delete;

private:
    ptrdiff_t* previous_;
};

}  // namespace myrtleroute::lab
