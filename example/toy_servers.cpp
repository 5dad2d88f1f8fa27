// Three toy servers and the discovery that lists them, all on loopback, to try the proxy with.
//
//     toy_servers [SERVER=MODE ...]    for example: toy_servers s-2=failing s-3=hung
//
// A server answers with its name after 50 ms. Modes: failing answers 500, full turns away what has not run,
// hung answers nothing, draining is listed as DRAINING, gone is listed though nothing listens there.
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "run/loop.hpp"
#include "run/posix_system.hpp"
#include "wire/endpoint.hpp"
#include "wire/http.hpp"
#include "wire/ask.hpp"

using namespace myrtleroute;
using memory::Connection;
using memory::CloseReason;

namespace {

constexpr Span work{0.05}, hold{20};

struct Asked : wire::HttpHandler {
    std::string target;
    int start(std::string_view, std::string_view where, std::string_view) override {
        target = where;
        return 0;
    }
    int field(std::string_view, std::string_view) override { return 0; }
    void body(std::string_view) override {}
};

struct Peer : Connection {
    Peer(memory::ConnectionHandler& by, int fd)
        : Connection(by, fd, 16 * 1024, 128 * 1024), http(wire::HttpParser::Side::request, asked) {}
    std::string name() const override { return "caller"; }
    Asked asked;
    wire::HttpParser http;
    std::string reply;   // said when its timer is due
};

struct Door : Connection {
    Door(memory::ConnectionHandler& by, int fd) : Connection(by, fd, 1, 1) { listens = true; }
    std::string name() const override { return "door"; }
};

class Service : public memory::ConnectionHandler {
public:
    Service(run::Loop& loop, const std::string& endpoint) : loop_(loop) {
        const int fd = loop.system().listen(*wire::parse_endpoint(endpoint));
        if (fd < 0) throw std::runtime_error("can't listen at " + endpoint);
        loop_.add(std::make_unique<Door>(*this, fd));
    }
    void on_readable(Connection& c) override {
        if (c.listens) {
            for (int fd; (fd = loop_.system().accept(c.fd)) >= 0;)
                loop_.add(std::make_unique<Peer>(*this, fd));
            return;
        }
        auto& peer = static_cast<Peer&>(c);
        if (c.ended) return loop_.close(c, CloseReason::peer_closed);
        while (!c.in.empty() && !peer.http.done() && !peer.http.fault())
            c.in.drop(peer.http.feed(c.in.front()));
        if (peer.http.fault()) return loop_.close(c, CloseReason::bad_call);
        if (!peer.http.done() || !peer.reply.empty()) return;
        if (const Span after = answer(peer.asked.target, peer.reply); !peer.reply.empty())
            loop_.set_timer(c, loop_.now() + after);
    }
    void on_error(Connection& c, int) override {
        if (!c.listens) loop_.close(c, CloseReason::peer_reset);
    }
    void on_timer(Connection& c) override {
        auto& peer = static_cast<Peer&>(c);
        c.out.push(peer.reply);
        peer.reply.clear();
        peer.http.next();
        loop_.flush(c);
    }

private:
    virtual Span answer(const std::string& target, std::string& reply) = 0;   // an empty one is never said
    run::Loop& loop_;
};

class ToyServer : public Service {
public:
    ToyServer(run::Loop& loop, const std::string& endpoint, std::string name, std::string mode)
        : Service(loop, endpoint), name_(std::move(name)), mode_(std::move(mode)) {}

private:
    Span answer(const std::string& target, std::string& reply) override {
        if (mode_ == "hung") return {};
        std::cout << name_ << " is asked for " << target << std::endl;
        if (mode_ == "full") reply = wire::format_response(503, "", true, "X-Not-Processed: 1\r\n");
        else if (mode_ == "failing" && target != "/alive") reply = wire::format_response(500, "", true);
        else reply = wire::format_response(200, "from " + name_ + "\n", true);
        return work;
    }
    std::string name_, mode_;
};

class ToyDiscovery : public Service {
public:
    ToyDiscovery(run::Loop& loop, const std::string& endpoint, std::string targets)
        : Service(loop, endpoint), targets_(std::move(targets)) {}

private:
    Span answer(const std::string& target, std::string& reply) override {
        const bool watch = target.find("from=1&") != target.npos;   // it has the list, which never changes
        reply = wire::format_response(200, watch ? R"({"rev":1,"all":false,"targets":[]})"
                                        : R"({"rev":1,"all":true,"targets":[)" + targets_ + "]}", true);
        return watch ? hold * 0.25 : Span{};
    }
    std::string targets_;
};

}  // namespace

int main(int count, char** words) {
    std::map<std::string, std::string> modes;
    for (int i = 1; i < count; ++i) {
        const std::string word = words[i];
        modes[word.substr(0, word.find('='))] = word.substr(word.find('=') + 1);
    }
    try {
        run::PosixSystem system;
        run::Log log(run::Level::warning, system);
        run::Loop loop(log, system);
        std::vector<std::unique_ptr<Service>> services;
        std::string targets;
        for (const char number : {'1', '2', '3'}) {
            const auto name = std::string("s-") + number, endpoint = std::string("127.0.0.1:510") + number;
            const auto mode = modes[name];
            if (mode != "gone")
                services.push_back(std::make_unique<ToyServer>(loop, endpoint, name, mode));
            if (!targets.empty()) targets += ',';
            targets += R"({"uid":")" + name + R"(","endpoint":")" + endpoint;
            targets += R"(","az":"north hall","model":"toy","pod_group":0,"state":")";
            targets += mode == "draining" ? "DRAINING" : "SERVING";
            targets += R"(","capacity_hint":1.0,"boot_ms":0})";
        }
        services.push_back(std::make_unique<ToyDiscovery>(loop, "127.0.0.1:8500", targets));
        for (;;) loop.run_once([](uint64_t) {}, [] {});
    } catch (const std::exception& trouble) {
        std::cerr << "toy_servers: " << trouble.what() << '\n';
        return 1;
    }
}
