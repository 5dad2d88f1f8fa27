// A relay on loopback that stands for a link: bytes towards the client pass at a limited rate, and the link holds only a
// small window. Bytes of the other direction pass at once. The end of either side is passed on.
#pragma once
#include <atomic>

#include "net.hpp"

namespace standin {

class Relay {
public:
    // `bits_per_second`: of each connection, towards the client.
    Relay(Address at, Address to, double bits_per_second)
        : listener_(listen_at(at)), to_(std::move(to)), rate_(bits_per_second / 8) {
        if (!listener_.valid()) throw std::runtime_error("can't listen at " + at.text());
        std::thread([this] { accept(); }).detach();
    }

private:
    void accept() {
        for (;;) {
            const int fd = ::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0) std::thread([this, fd] { relay(Socket(fd)); }).detach();
        }
    }
    void relay(Socket client) const {
        const auto proxy = connect_to(to_, 1, true);
        if (!proxy.valid()) return;
        set_timeout(proxy.fd(), 0);
        std::thread up([&] { pass(client.fd(), proxy.fd(), 0); });
        pass(proxy.fd(), client.fd(), rate_);
        ::shutdown(client.fd(), SHUT_RDWR);
        up.join();
    }
    static void pass(int from, int to, double rate) {
        char bytes[16 * 1024];
        double free_at = seconds_now();
        for (;;) {
            const auto n = ::recv(from, bytes, sizeof bytes, 0);
            if (n <= 0 || !send_all(to, {bytes, static_cast<size_t>(n)})) break;
            if (rate <= 0) continue;
            free_at = std::max(free_at, seconds_now()) + static_cast<double>(n) / rate;
            sleep_for(free_at - seconds_now());
        }
        ::shutdown(to, SHUT_WR);
        ::shutdown(from, SHUT_RD);
    }
    Socket listener_;
    Address to_;
    double rate_;
};

}   // namespace standin
