// Helpers of the tests that run the program on loopback and act as its clients, servers and discovery.
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

inline constexpr double time_limit = 10;   // seconds; far more than any step takes, so that only a fault reaches it

inline double clock_now() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
inline constexpr double reuse_delay = 0.02;   // seconds until an answered connection to a server may be used again
inline void wait(double seconds) { ::usleep(static_cast<useconds_t>(seconds * 1e6)); }

// A loopback address that no other run of the tests uses, with a separate port for each listener.
inline std::string unused_endpoint() {
    static int next = 20000;
    const int pid = ::getpid();
    return "127." + std::to_string(100 + (pid >> 16) % 100) + "." + std::to_string(pid >> 8 & 255) + "." +
           std::to_string(pid & 255) + ":" + std::to_string(next++);
}

class Socket {
public:
    explicit Socket(int fd = -1) : fd_(fd) {}
    Socket(Socket&& o) : fd_(std::exchange(o.fd_, -1)), received_(std::move(o.received_)) {}
    Socket& operator=(Socket&& o) {
        std::swap(fd_, o.fd_);
        std::swap(received_, o.received_);
        return *this;
    }
    ~Socket() { close(); }
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
    bool send_some(std::string_view text) {   // false: the peer does not read
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
    bool receive(double within = time_limit) {   // false: nothing arrived, or the stream ended
        char bytes[4096];
        const auto n = ready(within) ? ::recv(fd_, bytes, sizeof bytes, 0) : 0;
        if (n > 0) received_.append(bytes, static_cast<size_t>(n));
        return n > 0;
    }
    // Whether a reset has arrived, also after the end of stream.
    bool is_reset(double within) {
        pollfd p{fd_, 0, 0};
        return ::poll(&p, 1, static_cast<int>(within * 1000)) == 1 && (p.revents & (POLLERR | POLLHUP));
    }
    bool is_closed(double within = time_limit) {
        while (receive(within)) {}
        return ready(0);
    }
    // One complete message with Content-Length; empty if the connection ended or timed out before.
    std::string message() {
        for (;;) {
            const auto head = received_.find("\r\n\r\n");
            if (head != received_.npos) {
                size_t size = head + 4;
                if (const auto at = received_.find("Content-Length: "); at < head) size += std::stoul(received_.substr(at + 16));
                if (received_.size() >= size) {
                    const auto whole = received_.substr(0, size);
                    received_.erase(0, size);
                    return whole;
                }
            }
            if (!receive()) return "";
        }
    }

private:
    int fd_;
    std::string received_;
};

class Listener {
public:
    explicit Listener(int backlog = 64) : endpoint(unused_endpoint()), fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        const auto at = *myrtleroute::wire::parse_endpoint(endpoint);
        const int on = 1;   // an earlier run may have left connections in TIME_WAIT
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        REQUIRE(::bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0);
        REQUIRE(::listen(fd_, backlog) == 0);
    }
    Listener(Listener&& o) : endpoint(o.endpoint), fd_(std::exchange(o.fd_, -1)) {}
    ~Listener() { close(); }
    void close() {
        if (fd_ >= 0) ::close(std::exchange(fd_, -1));
    }
    bool connection_pending(double within) const {
        pollfd p{fd_, POLLIN, 0};
        return ::poll(&p, 1, static_cast<int>(within * 1000)) == 1;
    }
    Socket accept() {
        REQUIRE(connection_pending(time_limit));
        return Socket(::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC));
    }
    // From now on no connect to this listener completes; the returned connections fill its queue and must be kept.
    std::vector<Socket> fill_queue();
    std::string endpoint;

private:
    int fd_;
};

inline Socket connect(const std::string& endpoint, int flags = 0) {
    const auto at = *myrtleroute::wire::parse_endpoint(endpoint);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | flags, 0);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0 || flags) return Socket(fd);
    ::close(fd);
    return Socket();
}

inline std::vector<Socket> Listener::fill_queue() {
    REQUIRE(::listen(fd_, 0) == 0);
    std::vector<Socket> connections;
    for (int i = 0; i < 8; ++i) connections.push_back(connect(endpoint, SOCK_NONBLOCK));
    return connections;
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

// Seconds for which a request to discovery is held; 0 if it is not, or if it is not a watch from that revision on.
inline double hold_of(const std::string& call, const std::string& from) {
    const auto start = "GET /discovery/hosts?from=" + from + "&hold_ms=";
    return call.find(start) == 0 ? std::stod(call.substr(start.size())) / 1000 : 0;
}

inline std::string product(const std::string& name, const std::string& idempotency) {
    return R"({"Name":")" + name + R"(","BilledValue":1,"LatencySloS":4,"ClientTimeoutS":5,"Idempotency":")" +
           idempotency + R"(","Streaming":false})";
}
// Configuration with two products: `read` is idempotent, `book` is not.
inline std::string config(const std::string& listen, const std::string& discovery, const std::string& known) {
    return R"({"name":"n1","listen":")" + listen + R"(","discovery":")" + discovery +
           R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":64},"known":)" + known +
           R"(,"settings":{"Products":[)" + product("read", "read_like") + "," + product("book", "non_idempotent") +
           R"(],"Projects":[],"Zones":["north hall","yard"],"Balancers":1,"Me":0,"Locality":0,"Discovery":"on_request",)" +
           R"("Limits":{"Probing":true,"Cancel":true,"RetryAfter":true,"MaxShots":3,"MaxRetryAfterS":1.5,)" +
           R"("ConnectTimeoutS":0.25,"IdleCloseS":60},"Guarantees":{"AskWithinS":10,"WarmAfterS":9,"StartCapacity":0.3,)" +
           R"("TipMultiple":4,"GraceToAnswerS":0.02}}})";
}

// The running program, configured with `servers` servers that the test plays.
class ProxyProcess {
public:
    // The text `from` in the configuration is replaced by `to`.
    explicit ProxyProcess(int servers = 1, int backlog = 64, const std::string& from = {}, const std::string& to = {})
        : listen(unused_endpoint()) {
        std::string known;
        for (int i = 0; i < servers; ++i) {
            this->servers.emplace_back(backlog);
            if (i) known += ',';
            known += entry(i, this->servers[i].endpoint);
        }
        start(with(config(listen, discovery.endpoint, list(5, true, known)), from, to));
        for (double until = clock_now() + time_limit; !connect(listen).open() && clock_now() < until;) wait(0.01);
    }
    ~ProxyProcess() {
        if (pid_ > 0) ::kill(pid_, SIGKILL);
        if (pid_ > 0) ::waitpid(pid_, nullptr, 0);
        ::unlink(config_path_.c_str());
        ::unlink(log_path_.c_str());
    }
    Socket client() { return connect(listen); }
    void configure(const std::string& text) {   // replaces the configuration file and sends SIGHUP
        const auto new_path = config_path_ + "-new";
        std::ofstream(new_path) << text;
        ::rename(new_path.c_str(), config_path_.c_str());
        signal(SIGHUP);
    }
    void signal(int number) { ::kill(pid_, number); }
    // Stops the program during `action`, so that it sees all its effects in one iteration of its loop.
    template <class Action>
    void while_stopped(Action&& action) {
        stop();
        action();
        signal(SIGCONT);
    }
    void stop() {   // stops the program until SIGCONT
        signal(SIGSTOP);
        ::waitpid(pid_, nullptr, WUNTRACED);
    }
    // The exit status, once the program has ended by itself; -1 if it has not.
    int exit_status() {
        int status = -1;
        for (double until = clock_now() + time_limit; clock_now() < until; wait(0.01))
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
    bool wait_for_log(const std::string& what) const {
        for (double until = clock_now() + time_limit; clock_now() < until; wait(0.01))
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
    explicit ProxyProcess(const std::string& broken_config) { start(broken_config); }

private:
    pid_t pid_ = -1;
    std::string config_path_, log_path_;
};

struct MisconfiguredProxy : ProxyProcess {
    explicit MisconfiguredProxy(const std::string& text) : ProxyProcess(text) {}
};

}  // namespace loopback
