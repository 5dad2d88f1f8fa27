// A host stand-in as a process of its own: registers itself, answers the health check and serves requests.
//
//   host ID SERVICE IP:PORT ZONE CONTROL,CONTROL,... BYTES SECONDS FRAMING WORK RECORD
//
// It works on a request for WORK seconds. An answer has BYTES bytes and is sent in even pieces over SECONDS. FRAMING:
// `length`, `chunked`, or `close` (no length; the answer ends with its connection). Every run is appended to RECORD as a
// line `run REQUEST-ID STAMP`, and `sent STAMP` follows when all of its answer has been handed to the connection.
#include <sys/prctl.h>

#include <atomic>
#include <csignal>
#include <sstream>

#include "body.hpp"
#include "net.hpp"

namespace {

using namespace standin;

struct Options {
    std::string id, service, zone, framing, record;
    Address at;
    std::vector<Address> controls;
    size_t bytes = 0;
    double seconds = 0, work = 0;
};

constexpr int capacity = 64, pieces = 40;
constexpr double heartbeat = 1.2;
std::atomic<int> running = 0;

class RunRecord {
public:
    explicit RunRecord(const std::string& path)
        : fd_(::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644)) {}
    void line(const std::string& text) {
        const auto whole = text + "\n";
        if (::write(fd_, whole.data(), whole.size()) < 0) std::perror("record");
    }

private:
    int fd_;
};

std::string head(const Options& options, const Message& request, int status, const std::string& more) {
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Answer\r\nX-Instance-Id: " + options.id +
                       "\r\nX-Instance-Load: " + std::to_string(running.load()) + ",0," + std::to_string(capacity) +
                       "\r\n";
    const auto id = field(request.fields, "X-Request-Id");
    if (!id.empty()) text += "X-Request-Id: " + id + "\r\n";
    return text + more + "\r\n";
}

bool short_answer(int fd, const Options& options, const Message& request, int status, const std::string& more) {
    return send_all(fd, head(options, request, status, more + "Content-Length: 2\r\n") + "{}");
}

// False: the connection is not used again.
bool serve(int fd, const Options& options, const Message& request, RunRecord& record) {
    if (request.target() == "/health" || request.target() == "/report")
        return short_answer(fd, options, request, 200, "");
    const auto expected = field(request.fields, "X-Expected-Instance");
    if (!expected.empty() && expected != options.id)
        return short_answer(fd, options, request, 421, "X-Not-Executed: 1\r\n");
    const auto id = field(request.fields, "X-Request-Id");
    if (id.empty()) return short_answer(fd, options, request, 400, "X-Not-Executed: 1\r\n");
    if (running >= capacity) return short_answer(fd, options, request, 503, "X-Not-Executed: 1\r\n");
    ++running;
    const auto stamp = options.id + "." + id;
    record.line("run " + id + " " + stamp);
    sleep_for(options.work);
    const auto body = body_of(stamp, options.bytes);
    std::string more = "X-Server-Signature: " + stamp + "\r\nContent-Type: text/plain\r\n";
    if (options.framing == "length") more += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    if (options.framing == "chunked") more += "Transfer-Encoding: chunked\r\n";
    if (options.framing == "close") more += "Connection: close\r\n";
    bool sent = send_all(fd, head(options, request, 200, more));
    const size_t piece = body.size() / pieces + 1;
    for (size_t at = 0; sent && at < body.size(); at += piece) {
        auto part = body.substr(at, piece);
        if (options.framing == "chunked") {
            char size[32];
            std::snprintf(size, sizeof size, "%zx\r\n", part.size());
            part = size + part + "\r\n";
        }
        sent = send_all(fd, part);
        sleep_for(options.seconds / pieces);
    }
    if (sent && options.framing == "chunked") sent = send_all(fd, "0\r\n\r\n");
    --running;
    record.line((sent ? "sent " : "broken off ") + stamp);
    return sent && options.framing != "close";
}

void serve_connection(Socket socket, const Options& options, RunRecord& record) {
    const int on = 1;
    ::setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    Reader reader(socket.fd());
    for (;;) {
        const auto request = reader.read(false);
        if (!request.complete || !serve(socket.fd(), options, request, record)) return;
    }
}

// Heartbeats go to one control node; after a failure the next one is called.
void send_heartbeats(const Options& options) {
    size_t control = 0;
    uint64_t sequence = 0;
    for (;;) {
        for (size_t tries = 0; tries < options.controls.size(); ++tries) {
            const auto& to = options.controls[control];
            const auto body = R"({"service":")" + options.service + R"(","address":")" + options.at.text() +
                              R"(","zone":")" + options.zone +
                              R"(","version":"v1","state":"ready","coldRemainingMs":0,"capacity":)" +
                              std::to_string(capacity) + R"(,"sequence":)" + std::to_string(++sequence) + "}";
            const auto reply = call(to,
                                    request_text("PUT", "/instances/" + options.id, to.text(),
                                                 {{"Content-Type", "application/json"}, {"Connection", "close"}}, body),
                                    1);
            if (reply.status() == 200) break;
            control = (control + 1) % options.controls.size();
        }
        sleep_for(heartbeat);
    }
}

}   // namespace

int main(int argc, char** argv) {
    if (argc != 11) return 2;
    std::signal(SIGPIPE, SIG_IGN);
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    Options options;
    options.id = argv[1], options.service = argv[2], options.at = address_of(argv[3]), options.zone = argv[4];
    std::istringstream controls(argv[5]);
    for (std::string control; std::getline(controls, control, ',');) options.controls.push_back(address_of(control));
    options.bytes = std::strtoull(argv[6], nullptr, 10), options.seconds = std::atof(argv[7]);
    options.framing = argv[8], options.work = std::atof(argv[9]), options.record = argv[10];
    RunRecord record(options.record);
    const auto listener = listen_at(options.at);
    if (!listener.valid()) return 2;
    std::thread([&] { send_heartbeats(options); }).detach();
    for (;;) {
        const int fd = ::accept4(listener.fd(), nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) continue;
        std::thread([fd, &options, &record] { serve_connection(Socket(fd), options, record); }).detach();
    }
}
