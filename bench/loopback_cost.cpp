// Measures the CPU time of calls over loopback: user and system seconds per 10,000 calls, of the whole process from
// start to exit. Several programs are measured alternately so that they can be compared.
//
//     bench_loopback_cost [ROUNDS [CALLS]] PROGRAM...
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "run/loop.hpp"
#include "run/posix_system.hpp"
#include "wire/ask.hpp"
#include "wire/endpoint.hpp"
#include "wire/reply.hpp"

using namespace myrtleroute;
using memory::Connection;
using memory::CloseReason;

namespace {

constexpr int concurrency = 8, servers = 3;

std::string address(int number) {   // unique to this run; ports are below the ephemeral range
    const int pid = ::getpid();
    return "127." + std::to_string(200 + (pid >> 16) % 50) + "." + std::to_string(pid >> 8 & 255) + "." +
           std::to_string(pid & 255) + ":" + std::to_string(20000 + number);
}

struct RequestTarget : wire::HttpHandler {
    std::string target;
    int start(std::string_view, std::string_view where, std::string_view) override {
        target = where;
        return 0;
    }
    int field(std::string_view, std::string_view) override { return 0; }
    void body(std::string_view) override {}
};

struct Peer : Connection {   // connection of the program to a server or to discovery
    Peer(memory::ConnectionHandler& by, int fd)
        : Connection(by, fd, 80'000, 80'000), http(wire::HttpParser::Side::request, request) {}
    std::string name() const override { return "peer"; }
    RequestTarget request;
    wire::HttpParser http;
};
struct Listener : Connection {
    Listener(memory::ConnectionHandler& by, int fd) : Connection(by, fd, 1, 1) { listens = true; }
    std::string name() const override { return "listener"; }
};
struct Caller : Connection {
    Caller(memory::ConnectionHandler& by, int fd) : Connection(by, fd, 80'000, 80'000), http(wire::HttpParser::Side::response, reader) {}
    std::string name() const override { return "caller"; }
    wire::ResponseReader reader;
    wire::HttpParser http;
};

class Peers : public memory::ConnectionHandler {
public:
    explicit Peers(run::Loop& loop) : loop_(loop) {
        for (int i = 0; i <= servers; ++i)   // the last one serves discovery
            loop.add(std::make_unique<Listener>(*this, loop.system().listen(*wire::parse_endpoint(address(i + 1)))));
    }
    void on_readable(Connection& c) override {
        if (c.listens) {
            for (int fd; (fd = loop_.system().accept(c.fd)) >= 0;) loop_.add(std::make_unique<Peer>(*this, fd));
            return;
        }
        auto& peer = static_cast<Peer&>(c);
        while (!c.in.empty() && !peer.http.done()) c.in.drop(peer.http.feed(c.in.front()));
        if (c.ended || peer.http.fault()) return loop_.close(c, CloseReason::peer_closed);
        if (!peer.http.done()) return;
        peer.http.reset();
        if (peer.request.target.find("hold_ms") != std::string::npos) return;   // a watch: the list never changes
        const bool list = peer.request.target.starts_with("/discovery");
        c.out.push(wire::format_response(200, list ? targets() : std::string(200, 'a'), true));
        loop_.flush(c);
    }
    void on_error(Connection& c, int) override { loop_.close(c, CloseReason::peer_reset); }
    void on_timer(Connection&) override {}
    static std::string targets() {
        std::string all = R"({"rev":1,"all":true,"targets":[)";
        for (int i = 0; i < servers; ++i)
            all += (i ? "," : "") + std::string(R"({"uid":"s-)") + std::to_string(i) + R"(","endpoint":")" + address(i + 1) +
                   R"(","az":"a","state":"SERVING","boot_ms":0})";
        return all + "]}";
    }

private:
    run::Loop& loop_;
};

class Callers : public memory::ConnectionHandler {
public:
    Callers(run::Loop& loop, int calls) : loop_(loop), left_(calls) {
        for (int i = 0; i < concurrency; ++i) {
            bool at_once = false;
            const int fd = loop.system().connect(*wire::parse_endpoint(address(0)), at_once);
            auto caller = std::make_unique<Caller>(*this, fd);
            caller->connecting = !at_once;
            call(loop.add(std::move(caller)));
        }
    }
    bool over() const { return answered_ == asked_ && left_ == 0; }
    int fulfilled = 0;
    void on_readable(Connection& c) override {
        auto& caller = static_cast<Caller&>(c);
        while (!c.in.empty() && !caller.http.done()) c.in.drop(caller.http.feed(c.in.front()));
        if (!caller.http.done()) return;
        fulfilled += caller.reader.status == 200;
        ++answered_;
        caller.http.reset();
        call(c);
    }
    void on_error(Connection&, int) override { std::abort(); }   // the measurement is invalid
    void on_timer(Connection&) override {}

private:
    void call(Connection& c) {
        if (left_ == 0) return;
        --left_;
        const bool get = ++asked_ % 2;
        c.out.push(std::string(get ? "GET" : "POST") + " /api?n=1 HTTP/1.1\r\nHost: api\r\nX-Request-ID: " + std::to_string(asked_) +
                   "\r\nX-Priority-Class: " + (get ? "read" : "book") + "\r\nX-Timeout: 2000m\r\n" +
                   (get ? "\r\n" : "Content-Length: 200\r\n\r\n" + std::string(200, 'b')));
        loop_.flush(c);
    }
    run::Loop& loop_;
    int left_, asked_ = 0, answered_ = 0;
};

std::string configuration() {
    const auto product = [](const char* name, const char* repeat) {
        return std::string(R"({"Name":")") + name + R"(","BilledValue":1,"LatencySloS":1,"ClientTimeoutS":2,"Idempotency":")" + repeat + "\"}";
    };
    return R"({"name":"n1","listen":")" + address(0) + R"(","discovery":")" + address(servers + 1) + R"(","seed":"1","known":)" +
           Peers::targets() + R"(,"settings":{"Products":[)" + product("read", "read_like") + "," + product("book", "non_idempotent") +
           R"(],"Balancers":1,"Me":0,"Locality":0,"Zones":["a"],"Discovery":"on_request","Limits":{"Probing":true,"Cancel":true,)" +
           R"("RetryAfter":true,"MaxShots":3,"MaxRetryAfterS":1.5,"ConnectTimeoutS":0.25,"IdleCloseS":60},"Guarantees":{"AskWithinS":10,)" +
           R"("WarmAfterS":9,"StartCapacity":0.3,"TipMultiple":4,"GraceToAnswerS":0.02}}})";
}

// Returns CPU seconds per 10,000 calls; below 0 if not all calls were answered 200.
double measure(const std::string& program, int calls) {
    char path[] = "/tmp/myrtleroute-cost-XXXXXX";
    ::close(::mkstemp(path));
    std::ofstream(path) << configuration();
    run::PosixSystem system;
    run::Log log(run::Level::error, system);
    run::Loop loop(log, system);
    Peers peers(loop);
    const pid_t pid = ::fork();
    if (pid == 0) {
        ::setenv("BALANCER_CONFIG", path, 1);
        ::setenv("MYRTLEROUTE_LOG", "error", 1);
        ::execl(program.c_str(), program.c_str(), nullptr);
        ::_exit(99);
    }
    ::usleep(300'000);
    Callers callers(loop, calls);
    const Time until = system.now() + Span{120};
    while (!callers.over() && system.now() < until) loop.run_once([](uint64_t) {}, [] {});
    ::kill(pid, SIGKILL);
    int status = 0;
    rusage used{};
    ::wait4(pid, &status, 0, &used);
    ::unlink(path);
    loop.close_all(CloseReason::stopping);
    const auto seconds = [](const timeval& t) { return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) * 1e-6; };
    if (callers.fulfilled < calls) return -1;
    return (seconds(used.ru_utime) + seconds(used.ru_stime)) / calls * 10'000;
}

}  // namespace

int main(int count, char** words) {
    int rounds = 5, calls = 20'000, first = 1;
    for (int* into : {&rounds, &calls})
        if (first < count && std::atoi(words[first]) > 0) *into = std::atoi(words[first++]);
    if (first == count) {
        std::cerr << "usage: bench_loopback_cost [ROUNDS [CALLS]] PROGRAM...\n";
        return 2;
    }
    std::vector<std::vector<double>> samples(static_cast<size_t>(count - first));
    for (int round = 0; round < rounds; ++round)
        for (int i = first; i < count; ++i) {
            const double s = measure(words[i], calls);
            if (s < 0) {
                std::cerr << words[i] << ": not all calls were fulfilled\n";
                return 1;
            }
            samples[static_cast<size_t>(i - first)].push_back(s);
        }
    for (int i = first; i < count; ++i) {
        auto& of = samples[static_cast<size_t>(i - first)];
        std::sort(of.begin(), of.end());
        std::printf("%s: CPU seconds per 10,000 calls: least %.3f, median %.3f, most %.3f\n", words[i], of.front(), of[of.size() / 2], of.back());
    }
}
