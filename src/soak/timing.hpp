// Timer helpers of the soak; times are in seconds.
#pragma once
#include <asio.hpp>

#include <chrono>
#include <utility>

namespace myrtleroute::soak {

inline std::chrono::nanoseconds nanoseconds(double seconds) {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(seconds));
}

// Calls `then` after the given number of seconds, unless the timer is set again, cancelled or destroyed before.
template <class Then>
void after(asio::steady_timer& timer, double seconds, Then then) {
    timer.expires_after(nanoseconds(seconds));
    timer.async_wait([then = std::move(then)](asio::error_code error) mutable {
        if (!error) then();
    });
}

}   // namespace myrtleroute::soak
