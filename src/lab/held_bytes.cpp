#include "lab/held_bytes.hpp"

#include <malloc.h>

#include <cstdlib>
#include <new>

namespace myrtleroute::lab {

namespace {

thread_local ptrdiff_t* current_counter = nullptr;

}  // namespace

HeapCounter::HeapCounter(ptrdiff_t& bytes) : previous_(current_counter) { current_counter = &bytes; }
HeapCounter::~HeapCounter() { current_counter = previous_; }
HeapCounterPause::HeapCounterPause() : previous_(current_counter) { current_counter = nullptr; }
HeapCounterPause::~HeapCounterPause() { current_counter = previous_; }

}  // namespace myrtleroute::lab

#ifndef __SANITIZE_ADDRESS__   // AddressSanitizer has its own allocator

void* operator new(std::size_t n) {
    void* at = std::malloc(n ? n : 1);
    if (!at) throw std::bad_alloc();
    if (myrtleroute::lab::current_counter)
        *myrtleroute::lab::current_counter += static_cast<ptrdiff_t>(malloc_usable_size(at));
    return at;
}
void* operator new(std::size_t n, const std::nothrow_t&) noexcept {
    void* at = std::malloc(n ? n : 1);
    if (at && myrtleroute::lab::current_counter)
        *myrtleroute::lab::current_counter += static_cast<ptrdiff_t>(malloc_usable_size(at));
    return at;
}
void* operator new[](std::size_t n) { return operator new(n); }
void operator delete(void* at) noexcept {
    if (at && myrtleroute::lab::current_counter)
        *myrtleroute::lab::current_counter -= static_cast<ptrdiff_t>(malloc_usable_size(at));
    std::free(at);
}
void operator delete[](void* at) noexcept { operator delete(at); }
void operator delete(void* at, std::size_t) noexcept { operator delete(at); }
void operator delete[](void* at, std::size_t) noexcept { operator delete(at); }

#endif
