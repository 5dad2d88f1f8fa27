#include "rig/relay_cost.hpp"

#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iomanip>
#include <stdexcept>

#include "rig/histogram.hpp"
#include "rig/links.hpp"
#include "rig/part.hpp"
#include "rig/process.hpp"
#include "rig/rig_system.hpp"
#include "run/loop.hpp"

namespace myrtleroute::rig {

namespace {

constexpr int exchanges = 4000, throughput_connections = 4;
constexpr Span measure_duration{1};
constexpr size_t small_size = 200, large_size = 64 * 1024;

// Sends back all bytes that it receives.
class Echo : public memory::ConnectionHandler {
public:
    Echo() : log_(run::Level::error, system_), loop_(log_, system_) {}
    [[noreturn]] void run(int ready) {
        uint16_t port = 0;
        loop_.add(std::make_unique<Listener>(*this, system_.listen_on_loopback(port)));
        [[maybe_unused]] const auto n = ::write(ready, &port, sizeof port);
        for (;;) loop_.run_once([](uint64_t) {}, [] {});
    }
    void on_readable(memory::Connection& c) override {
        if (c.listens) {
            for (int fd; (fd = system_.accept(c.fd)) >= 0;) loop_.add(std::make_unique<EchoConnection>(*this, fd));
            return;
        }
        while (!c.in.empty()) {
            const auto bytes = c.in.front();
            if (!c.out.push(bytes)) break;
            c.in.drop(bytes.size());
        }
        loop_.flush(c);
        if (c.ended) loop_.close(c, memory::CloseReason::peer_closed);
    }
    void on_written(memory::Connection& c) override {
        if (!c.in.empty()) on_readable(c);
    }
    void on_error(memory::Connection& c, int) override { loop_.close(c, memory::CloseReason::peer_reset); }
    void on_timer(memory::Connection&) override {}

private:
    struct EchoConnection : memory::Connection {
        EchoConnection(memory::ConnectionHandler& by, int fd) : Connection(by, fd, large_size, 4 * large_size) {}
        std::string name() const override { return "line"; }
    };
    RigSystem system_;
    run::Log log_;
    run::Loop loop_;
};

pid_t start_echo(uint16_t& port) {
    int ends[2];
    if (::pipe(ends) != 0) throw std::runtime_error("no pipe for the echo process");
    const pid_t pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::close(ends[0]);
        Echo().run(ends[1]);
    }
    ::close(ends[1]);
    const bool started = pid > 0 && ::read(ends[0], &port, sizeof port) == sizeof port;
    ::close(ends[0]);
    if (!started) throw std::runtime_error("the echo process can't be started");
    return pid;
}

class Caller {
public:
    int connect(const Link& link, uint16_t port) {
        bool at_once;
        const int fd = system_.connect(address(ip_of(link), port), at_once);
        if (fd < 0 || !ready(fd, POLLOUT)) throw std::runtime_error("no connection: " + std::string(std::strerror(errno)));
        return fd;
    }
    void exchange(int fd) {
        send(fd, {sent_.data(), small_size});
        for (size_t got = 0; got < small_size;) got += receive(fd);
    }
    size_t receive(int fd) {
        iovec part{received_.data(), received_.size()};
        for (;;) {
            const auto n = system_.read(fd, &part, 1);
            if (n > 0) return static_cast<size_t>(n);
            if (n == 0 || errno != EAGAIN || !ready(fd, POLLIN))
                throw std::runtime_error("a link's connection closed or timed out");
        }
    }
    void close(int fd) { system_.close(fd); }
    Time now() { return system_.now(); }

    // Throughput of echoed bytes over several connections at once.
    double bytes_per_second(const std::vector<int>& connections) {
        const size_t n = std::min<size_t>(throughput_connections, connections.size());
        std::vector<pollfd> polled;
        for (size_t i = 0; i < n; ++i) polled.push_back({connections[i], POLLIN | POLLOUT, 0});
        std::vector<size_t> out(n);   // sent and not yet echoed
        size_t got = 0;
        const Time from = now();
        for (bool sending = true; sending || std::any_of(out.begin(), out.end(), [](size_t o) { return o > 0; });) {
            sending = sending && now() - from < measure_duration;
            for (size_t i = 0; i < n; ++i)
                polled[i].events = static_cast<short>(POLLIN | (sending && out[i] < 4 * large_size ? POLLOUT : 0));
            if (system_.poll(polled.data(), n, 2000) <= 0) throw std::runtime_error("echo timeout: no bytes for 2 s");
            for (size_t i = 0; i < n; ++i) {
                if (polled[i].revents & POLLIN) {
                    const auto back = receive(polled[i].fd);
                    out[i] -= back;
                    got += back;
                }
                if (!(polled[i].revents & POLLOUT)) continue;
                const iovec part{sent_.data(), large_size};
                if (const auto sent = system_.write(polled[i].fd, &part, 1); sent > 0) out[i] += static_cast<size_t>(sent);
            }
        }
        return static_cast<double>(got) / (now() - from).s;
    }

private:
    bool ready(int fd, short what) {
        pollfd p{fd, what, 0};
        return system_.poll(&p, 1, 5000) == 1;
    }
    void send(int fd, std::string_view bytes) {
        while (!bytes.empty()) {
            const iovec part{const_cast<char*>(bytes.data()), bytes.size()};
            const auto n = system_.write(fd, &part, 1);
            if (n > 0) bytes.remove_prefix(static_cast<size_t>(n));
            else if (!ready(fd, POLLOUT)) throw std::runtime_error("a link accepts no bytes for 5 s");
        }
    }
    run::PosixSystem system_;
    std::string sent_ = std::string(large_size, 'x');
    std::vector<char> received_ = std::vector<char>(256 * 1024);
};

struct Row { double p50, p99, connections, bytes; };

Row measure(uint16_t port, int links) {
    Caller caller;
    const auto link = [](int i) { return Link{Kind::server, static_cast<uint16_t>(i % 1000), 0}; };
    std::vector<int> connections;
    for (int i = 0; i < links; ++i) connections.push_back(caller.connect(link(i), port));
    Histogram times;
    for (int i = 0; i < exchanges; ++i) {
        const Time from = caller.now();
        caller.exchange(connections[static_cast<size_t>(i) * 7919 % connections.size()]);
        times.add((caller.now() - from).s);
    }
    const double bytes = caller.bytes_per_second(connections);
    int opened = 0;
    const Time from = caller.now();
    for (; caller.now() - from < measure_duration; ++opened) {
        const int fd = caller.connect(link(opened), port);
        caller.exchange(fd);
        caller.close(fd);
    }
    const Row row{times.quantile(0.5), times.quantile(0.99), opened / (caller.now() - from).s, bytes};
    for (const int fd : connections) caller.close(fd);
    return row;
}

}  // namespace

void relay_cost(std::ostream& out, const std::string& self, const std::vector<int>& links) {
    const auto dir = std::filesystem::temp_directory_path() / ("relay-cost-" + std::to_string(::getpid()));
    std::filesystem::create_directories(dir);
    const auto file = (dir / "experiment.toml").string();
    std::ofstream(file) << "proxies = 1000\nservers = 1\n";
    uint16_t echo = 0, relay = 0;
    const pid_t echo_pid = start_echo(echo);
    int ends[2];
    if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends) != 0)
        throw std::runtime_error("no control connection to the relay");
    ProcessOptions what;
    what.arguments = {self,    "part",       "relay",    "--file", file,   "--seed", "1",
                      "--dir", dir.string(), "--number", "0",      "--of", "1"};
    what.output = (dir / "relay.log").string();
    what.control_fd = ends[1];
    const pid_t relay_pid = spawn(what);
    ::close(ends[1]);
    const auto command = "backend " + std::to_string(static_cast<int>(Kind::server)) + " 0 0 " + std::to_string(echo) + "\n";
    char reply[64] = "";
    const auto clean_up = [&] {
        for (const pid_t pid : {echo_pid, relay_pid}) ::kill(pid, SIGKILL);
        ::close(ends[0]);
        for (const pid_t pid : {echo_pid, relay_pid}) ::waitpid(pid, nullptr, 0);
        std::filesystem::remove_all(dir);
    };
    try {
        if (::write(ends[0], command.data(), command.size()) < 0 || ::read(ends[0], reply, sizeof reply - 1) <= 0)
            throw std::runtime_error("the relay can't be started");
        relay = static_cast<uint16_t>(std::stoi(std::string(reply).substr(std::string(reply).rfind(' '))));
        out << "links  way       p50 us   p99 us   connections/s   MB/s\n" << std::fixed;
        for (const int n : links)
            for (const bool relayed : {false, true}) {
                const auto row = measure(relayed ? relay : echo, n);
                out << std::setw(5) << n << "  " << (relayed ? "relayed" : "direct ") << std::setprecision(0) << std::setw(9)
                    << row.p50 * 1e6 << std::setw(9) << row.p99 * 1e6 << std::setw(16) << row.connections << std::setw(7)
                    << row.bytes / 1e6 << std::endl;
            }
    } catch (...) {
        clean_up();
        throw;
    }
    clean_up();
}

}  // namespace myrtleroute::rig
