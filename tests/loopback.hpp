// Helpers of the cases that play clients, servers and discovery by hand around the program itself on loopback.
#pragma once
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <vector>

#include "run/config.hpp"
#include "wire/endpoint.hpp"

namespace loopback {

inline constexpr double soon = 10;   // far more than anything here takes, so that only a fault waits as long

inline double clock_now() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
inline constexpr double rested = 0.02;   // an answered connection to a server may be used again
inline void wait(double seconds) { ::usleep(static_cast<useconds_t>(seconds * 1e6)); }

// An address of loopback that no other run of the tests has, and a port of its own for each listener.
inline std::string fresh_endpoint() {
    static int next = 20000;
    const int pid = ::getpid();
    return "127." + std::to_string(100 + (pid >> 16) % 100) + "." + std::to_string(pid >> 8 & 255) + "." +
           std::to_string(pid & 255) + ":" + std::to_string(next++);
}

class Wire {
public:
    explicit Wire(int fd = -1) : fd_(fd) {}
    Wire(Wire&& o) : fd_(std::exchange(o.fd_, -1)), held_(std::move(o.held_)) {}
    Wire& operator=(Wire&& o) {
        std::swap(fd_, o.fd_);
        std::swap(held_, o.held_);
        return *this;
    }
    ~Wire() { close(); }
    void close() {
        if (fd_ >= 0) ::close(std::exchange(fd_, -1));
    }
    void half_close() { ::shutdown(fd_, SHUT_WR); }
    void reset() {
        const linger at_once{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        close();
    }
    bool open() const { return fd_ >= 0; }
    bool ready(double within) const {
        pollfd p{fd_, POLLIN, 0};
        return ::poll(&p, 1, static_cast<int>(within * 1000)) == 1;
    }
    bool send_some(std::string_view text) {   // false: nobody takes it
        pollfd p{fd_, POLLOUT, 0};
        return ::poll(&p, 1, 300) == 1 && ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT) > 0;
    }
    void send(std::string_view text) {
        while (!text.empty()) {
            const auto n = ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
            if (n <= 0) return;
            text.remove_prefix(static_cast<size_t>(n));
        }
    }
    bool more(double within = soon) {   // false: nothing came, or the end did
        char bytes[4096];
        const auto n = ready(within) ? ::recv(fd_, bytes, sizeof bytes, 0) : 0;
        if (n > 0) held_.append(bytes, static_cast<size_t>(n));
        return n > 0;
    }
    // Whether a reset has come, also after the other end sent its end.
    bool breaks(double within) {
        pollfd p{fd_, 0, 0};
        return ::poll(&p, 1, static_cast<int>(within * 1000)) == 1 && (p.revents & (POLLERR | POLLHUP));
    }
    bool ends(double within = soon) {
        while (more(within)) {}
        return ready(0);
    }
    // One whole message with its length given; empty if the connection ended or fell silent before.
    std::string message() {
        for (;;) {
            const auto head = held_.find("\r\n\r\n");
            if (head != held_.npos) {
                size_t size = head + 4;
                if (const auto at = held_.find("Content-Length: "); at < head) size += std::stoul(held_.substr(at + 16));
                if (held_.size() >= size) {
                    const auto whole = held_.substr(0, size);
                    held_.erase(0, size);
                    return whole;
                }
            }
            if (!more()) return "";
        }
    }

private:
    int fd_;
    std::string held_;
};

class Listener {
public:
    explicit Listener(int backlog = 64) : endpoint(fresh_endpoint()), fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        const auto at = *myrtleroute::wire::parse_endpoint(endpoint);
        const int on = 1;   // an earlier run may have left connections behind
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        REQUIRE(::bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0);
        REQUIRE(::listen(fd_, backlog) == 0);
    }
    Listener(Listener&& o) : endpoint(o.endpoint), fd_(std::exchange(o.fd_, -1)) {}
    ~Listener() { close(); }
    void close() {
        if (fd_ >= 0) ::close(std::exchange(fd_, -1));
    }
    bool called(double within) const {
        pollfd p{fd_, POLLIN, 0};
        return ::poll(&p, 1, static_cast<int>(within * 1000)) == 1;
    }
    Wire accept() {
        REQUIRE(called(soon));
        return Wire(::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC));
    }
    // From now on nobody who connects is heard; the connections that see to it end with what is given back.
    std::vector<Wire> deafen();
    std::string endpoint;

private:
    int fd_;
};

inline Wire connect(const std::string& endpoint, int flags = 0) {
    const auto at = *myrtleroute::wire::parse_endpoint(endpoint);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | flags, 0);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0 || flags) return Wire(fd);
    ::close(fd);
    return Wire();
}

inline std::vector<Wire> Listener::deafen() {
    REQUIRE(::listen(fd_, 0) == 0);
    std::vector<Wire> crowd;
    for (int i = 0; i < 8; ++i) crowd.push_back(connect(endpoint, SOCK_NONBLOCK));
    return crowd;
}

inline std::string answer(const std::string& body, const std::string& status = "200 OK", const std::string& fields = "") {
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline std::string request(const std::string& product, const std::string& body = "", const std::string& time_out = "5000m") {
    static int id = 0;
    return (product == "read" ? "GET" : "POST") + std::string(" /api?day=1 HTTP/1.1\r\nHost: api.internal\r\n") +
           "X-Request-ID: 9b1f03aa-" + std::to_string(++id) + "\r\nX-Priority-Class: " + product + "\r\nX-Timeout: " +
           time_out + "\r\n" + (product == "read" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
}
inline std::string with(std::string text, const std::string& from, const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
}
inline int status(const std::string& message) { return message.size() > 12 ? std::atoi(message.c_str() + 9) : 0; }
inline std::string entry(int uid, const std::string& endpoint, const std::string& state = "SERVING") {
    return R"({"uid":"s-)" + std::to_string(uid) + R"(","endpoint":")" + endpoint + R"(","az":"north hall",)" +
           R"("model":"m","pod_group":0,"state":")" + state + R"(","capacity_hint":1.0,"boot_ms":0})";
}
inline std::string list(int rev, bool all, const std::string& entries) {
    return R"({"rev":)" + std::to_string(rev) + R"(,"all":)" + (all ? "true" : "false") + R"(,"targets":[)" + entries + "]}";
}

// Seconds for which a call to discovery waits; 0 where it does not, or is no watch from that version on.
inline double hold_of(const std::string& call, const std::string& from) {
    const auto start = "GET /discovery/hosts?from=" + from + "&hold_ms=";
    return call.find(start) == 0 ? std::stod(call.substr(start.size())) / 1000 : 0;
}

inline std::string product(const std::string& name, const std::string& repeat) {
    return R"({"Name":")" + name + R"(","BilledValue":1,"LatencySloS":4,"ClientTimeoutS":5,"Idempotency":")" + repeat +
           R"(","Streaming":false})";
}
// `read` is idempotent, `book` is not.
inline std::string config(const std::string& listen, const std::string& discovery, const std::string& known) {
    return R"({"name":"n1","listen":")" + listen + R"(","discovery":")" + discovery +
           R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":64},"known":)" + known +
           R"(,"settings":{"Products":[)" + product("read", "read_like") + "," + product("book", "non_idempotent") +
           R"(],"Projects":[],"Zones":["north hall","yard"],"Balancers":1,"Me":0,"Locality":0,"Discovery":"on_request",)" +
           R"("Limits":{"Probing":true,"Cancel":true,"RetryAfter":true,"MaxShots":3,"MaxRetryAfterS":1.5,)" +
           R"("ConnectTimeoutS":0.25,"IdleCloseS":60},"Guarantees":{"AskWithinS":10,"WarmAfterS":9,"StartCapacity":0.3,)" +
           R"("TipMultiple":4,"GraceToAnswerS":0.02}}})";
}

// The program, told of `servers` toy servers.
class World {
public:
    // `from` in the configuration is replaced by `to`.
    explicit World(int servers = 1, int backlog = 64, const std::string& from = {}, const std::string& to = {})
        : listen(fresh_endpoint()) {
        std::string known;
        for (int i = 0; i < servers; ++i) {
            this->servers.emplace_back(backlog);
            if (i) known += ',';
            known += entry(i, this->servers[i].endpoint);
        }
        start(with(config(listen, discovery.endpoint, list(5, true, known)), from, to));
        for (double until = clock_now() + soon; !connect(listen).open() && clock_now() < until;) wait(0.01);
    }
    ~World() {
        if (pid_ > 0) ::kill(pid_, SIGKILL);
        if (pid_ > 0) ::waitpid(pid_, nullptr, 0);
        ::unlink(config_path_.c_str());
        ::unlink(log_path_.c_str());
    }
    Wire client() { return connect(listen); }
    void configure(const std::string& text) {   // replaces the file and tells it so
        const auto fresh = config_path_ + "-new";
        std::ofstream(fresh) << text;
        ::rename(fresh.c_str(), config_path_.c_str());
        signal(SIGHUP);
    }
    void signal(int number) { ::kill(pid_, number); }
    // While `what` happens the program stands still, so that it meets all of it in one round.
    template <class What>
    void at_one_stroke(What&& what) {
        hold();
        what();
        signal(SIGCONT);
    }
    void hold() {   // until SIGCONT
        signal(SIGSTOP);
        ::waitpid(pid_, nullptr, WUNTRACED);
    }
    // Its exit status, once it has ended by itself.
    int exit_status() {
        int status = -1;
        for (double until = clock_now() + soon; clock_now() < until; wait(0.01))
            if (::waitpid(pid_, &status, WNOHANG) == pid_) {
                pid_ = -1;
                return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
            }
        return -1;
    }
    std::string log() const {
        std::ifstream file(log_path_);
        return {std::istreambuf_iterator<char>(file), {}};
    }
    bool logs(const std::string& what) const {
        for (double until = clock_now() + soon; clock_now() < until; wait(0.01))
            if (log().find(what) != std::string::npos) return true;
        return false;
    }
    std::string listen;
    Listener discovery;
    std::vector<Listener> servers;

protected:
    void start(const std::string& text) {
        char config_name[] = "/tmp/myrtleroute-config-XXXXXX", log_name[] = "/tmp/myrtleroute-log-XXXXXX";
        const int config_file = ::mkstemp(config_name), log_file = ::mkstemp(log_name);
        config_path_ = config_name;
        log_path_ = log_name;
        REQUIRE(::write(config_file, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
        ::close(config_file);
        pid_ = ::fork();
        if (pid_ == 0) {
            ::setenv("BALANCER_CONFIG", config_name, 1);
            if (text.find(discovery.endpoint) != text.npos) ::setenv("BALANCER_DISCOVERY", discovery.endpoint.c_str(), 1);
            ::dup2(log_file, 2);
            ::execl(MYRTLEROUTE_PROGRAM, MYRTLEROUTE_PROGRAM, nullptr);
            ::_exit(99);
        }
        ::close(log_file);
    }
    explicit World(const std::string& broken_config) { start(broken_config); }

private:
    pid_t pid_ = -1;
    std::string config_path_, log_path_;
};

struct Misconfigured : World {
    explicit Misconfigured(const std::string& text) : World(text) {}
};

}  // namespace loopback
