// Small blocking HTTP/1.1 helpers for the stand-ins of the review: sockets, messages, calls. Loopback only.
#pragma once
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace standin {

using Clock = std::chrono::steady_clock;
using Fields = std::vector<std::pair<std::string, std::string>>;

inline double seconds_now() { return std::chrono::duration<double>(Clock::now().time_since_epoch()).count(); }
inline void sleep_for(double seconds) {
    if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// An IPv4 address with a port.
struct Address {
    std::string ip;
    uint16_t port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline Address address_of(const std::string& text) {
    const auto colon = text.rfind(':');
    return {text.substr(0, colon), static_cast<uint16_t>(std::atoi(text.c_str() + colon + 1))};
}

inline sockaddr_in socket_address(const Address& at) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(at.port);
    ::inet_pton(AF_INET, at.ip.c_str(), &address.sin_addr);
    return address;
}

// A descriptor that is closed by the destructor.
class Socket {
public:
    explicit Socket(int fd = -1) : fd_(fd) {}
    Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    Socket& operator=(Socket&& other) noexcept {
        std::swap(fd_, other.fd_);
        return *this;
    }
    ~Socket() {
        if (fd_ >= 0) ::close(fd_);
    }
    int fd() const { return fd_; }
    bool valid() const { return fd_ >= 0; }

private:
    int fd_;
};

inline void set_timeout(int fd, double seconds) {
    timeval limit{};
    limit.tv_sec = static_cast<time_t>(seconds);
    limit.tv_usec = static_cast<suseconds_t>((seconds - static_cast<double>(limit.tv_sec)) * 1e6);
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
}

inline Socket listen_at(const Address& at) {
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    ::setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = socket_address(at);
    if (::bind(socket.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(socket.fd(), 512) != 0)
        return Socket();
    return socket;
}

inline Socket connect_to(const Address& to, double timeout) {
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    ::setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    set_timeout(socket.fd(), timeout);   // also bounds connect
    const auto address = socket_address(to);
    if (::connect(socket.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) return Socket();
    return socket;
}

inline bool send_all(int fd, std::string_view bytes) {
    while (!bytes.empty()) {
        const auto n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR) continue;
        if (n <= 0) return false;
        bytes.remove_prefix(static_cast<size_t>(n));
    }
    return true;
}

inline std::string field(const Fields& fields, std::string_view name) {
    for (const auto& [known, value] : fields)
        if (known.size() == name.size() && ::strncasecmp(known.data(), name.data(), name.size()) == 0) return value;
    return {};
}

// A request or an answer. `complete`: its end was seen as its framing demands.
struct Message {
    std::string start;
    Fields fields;
    std::string body;
    bool has_head = false, complete = false;
    std::string how;   // why it is not complete
    int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
    std::string method() const { return start.substr(0, start.find(' ')); }
    std::string target() const {
        const auto from = start.find(' ') + 1;
        return start.substr(from, start.find(' ', from) - from);
    }
};

// Reads messages from one connection, byte for byte as their framing says.
class Reader {
public:
    explicit Reader(int fd) : fd_(fd) {}

    Message read(bool is_answer) {
        auto message = read_head(is_answer);
        if (message.has_head) read_body(message, is_answer);
        return message;
    }

    Message read_head(bool is_answer) {
        Message message;
        std::string line;
        while (next_line(line)) {
            if (line.empty() && message.start.empty()) continue;
            if (message.start.empty()) {
                message.start = line;
            } else if (line.empty()) {
                if (is_answer && message.status() / 100 == 1) {   // an interim answer
                    message = {};
                    continue;
                }
                message.has_head = true;
                break;
            } else {
                const auto colon = line.find(':');
                if (colon == line.npos) break;
                auto value = line.substr(colon + 1);
                value.erase(0, value.find_first_not_of(' '));
                message.fields.emplace_back(line.substr(0, colon), value);
            }
        }
        if (!message.has_head) message.how = ended_;
        return message;
    }

    void read_body(Message& message, bool is_answer) {
        const auto length = field(message.fields, "Content-Length");
        if (::strcasecmp(field(message.fields, "Transfer-Encoding").c_str(), "chunked") == 0)
            message.complete = read_chunks(message.body);
        else if (!length.empty() || !is_answer)
            message.complete = read_bytes(message.body, length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10));
        else
            message.complete = read_to_end(message.body);
        if (!message.complete) message.how = ended_;
    }
    bool has_ended() const { return !ended_.empty(); }


private:
    bool fill() {
        char bytes[65536];
        for (;;) {
            const auto n = ::recv(fd_, bytes, sizeof bytes, 0);
            if (n < 0 && errno == EINTR) continue;
            if (n > 0) {
                buffer_.append(bytes, static_cast<size_t>(n));
                return true;
            }
            ended_ = n == 0 ? "closed" : errno == ECONNRESET ? "reset" : errno == EAGAIN ? "silent" : "error";
            return false;
        }
    }
    bool next_line(std::string& line) {
        for (;;) {
            const auto end = buffer_.find("\r\n", at_);
            if (end != buffer_.npos) {
                line = buffer_.substr(at_, end - at_);
                at_ = end + 2;
                return true;
            }
            if (!fill()) return false;
        }
    }
    void drop() {
        buffer_.erase(0, at_);
        at_ = 0;
    }
    bool read_bytes(std::string& into, size_t count) {
        while (count > 0) {
            drop();
            if (buffer_.empty() && !fill()) return false;
            const auto n = std::min(count, buffer_.size());
            into.append(buffer_, 0, n);
            at_ = n;
            count -= n;
        }
        drop();
        return true;
    }
    bool read_chunks(std::string& into) {
        std::string line;
        for (;;) {
            if (!next_line(line)) return false;
            const auto size = std::strtoull(line.c_str(), nullptr, 16);
            if (size == 0) break;
            if (!read_bytes(into, size) || !next_line(line)) return false;
        }
        while (next_line(line))
            if (line.empty()) return true;
        return false;
    }
    bool read_to_end(std::string& into) {
        for (;;) {
            drop();
            into.append(buffer_);
            buffer_.clear();
            if (!fill()) return ended_ == "closed";
        }
    }
    int fd_;
    std::string buffer_, ended_;
    size_t at_ = 0;
};

inline std::string request_text(const std::string& method, const std::string& target, const std::string& host,
                                const Fields& fields, const std::string& body) {
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n";
    for (const auto& [name, value] : fields) text += name + ": " + value + "\r\n";
    if (!body.empty() || method != "GET") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

// One call on a connection of its own.
inline Message call(const Address& to, const std::string& text, double timeout) {
    const auto socket = connect_to(to, timeout);
    Message none;
    none.how = "no connection";
    if (!socket.valid()) return none;
    set_timeout(socket.fd(), timeout);
    none.how = "not sent";
    if (!send_all(socket.fd(), text)) return none;
    return Reader(socket.fd()).read(true);
}

// The record of a run: lines with the time since the start, in the file and, for the main lines, on standard output.
class Record {
public:
    explicit Record(const std::string& path) : file_(path, std::ios::trunc), began_(seconds_now()) {}
    void line(const std::string& text, bool show = false) {
        const std::lock_guard lock(mutex_);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f  ", seconds_now() - began_);
        file_ << time << text << std::endl;
        if (show) std::printf("%s%s\n", time, text.c_str()), std::fflush(stdout);
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
    double began_;
};

}   // namespace standin
