#include "run/proxy.hpp"

#include <signal.h>

#include <cerrno>
#include <cstring>
#include <sstream>

namespace myrtleroute::run {

using memory::Count;

namespace {

// At a planned restart new connections go on coming for up to 0.4 s, and the end comes no sooner than the
// longest client timeout, 3 s at most, and 0.7 s more.
constexpr Span clients_come{0.5}, most_timeout{3}, beyond_timeout{0.6};
constexpr Span last_words{0.25};   // for the last answers to be read, before the end

struct Signals : memory::Connection {
    Signals(memory::ConnectionHandler& by, int fd) : Connection(by, fd, 1, 1) { listens = true; }
    std::string name() const override { return "signals"; }
};

}  // namespace

Proxy::Proxy(Config config, System& system, std::ostream& log)
    : s_(std::move(config), system, log), clients_(s_), servers_(s_, clients_), watcher_(s_, servers_) {
    clients_.on_full([this] { return servers_.make_room(); });
}

int Proxy::run() {
    if (!start()) return 1;
    while (round()) {}
    return 0;
}

bool Proxy::start() {
    if (!watch_signals() || !clients_.open()) {
        s_.log.error() << "configuration: listen can't be listened to: " << std::strerror(errno);
        return false;
    }
    s_.balancer = start_balancer(s_.loop.now(), s_.settings(), s_.config.seed, *this);
    watcher_.tell_known();
    // Where the list is sent unasked, the decisions ask for none: the watch is kept from here.
    if (s_.settings().pushed) watcher_.watch();
    s_.log.info() << s_.config.name << " serves";
    return true;
}

bool Proxy::round() {
    if (watcher_.has_list()) clients_.ready();
    s_.loop.run_once([this](uint64_t cookie) { s_.balancer->timer_fired(s_.loop.now(), cookie); },
                     [this] { settle(); });
    if (phase_ < closed || (phase_ < over && !clients_.over())) return true;
    s_.loop.close_all(memory::CloseReason::stopping);
    s_.log.info() << s_.config.name << " ends: " << counts();
    return false;
}

// All that was counted, and what is held now.
std::string Proxy::counts() const {
    std::ostringstream out;
    s_.counters.print(out);
    out << " servers_known=" << s_.servers.size() << " calls_held=" << s_.calls.size()
        << " descriptors=" << s_.loop.connections();
    return out.str();
}

bool Proxy::watch_signals() {
    const int fd = s_.system.watch_signals();
    if (fd >= 0) signals_ = &s_.loop.add(std::make_unique<Signals>(*this, fd));
    return fd >= 0;
}

void Proxy::on_readable(memory::Connection& c) {
    while (const int number = s_.system.next_signal(c.fd)) {
        if (number == SIGUSR1) {
            s_.log.warning() << s_.config.name << " counts: " << counts();
        } else if (number == SIGHUP) {
            if (phase_ == serving) read_again();
        } else if (phase_ == serving) {
            s_.log.info() << s_.config.name << " is told to stop";
            Span longest;
            for (const auto& p : s_.settings().products) longest = std::max(longest, p.client_timeout);
            phase_ = stopping;
            end_at_ = s_.loop.now() + std::min(longest, most_timeout) + beyond_timeout;
            // Guards against calls that come while it stops and have more time than it has.
            clients_.answer_by(end_at_ - last_words);
            s_.loop.set_timer(*signals_, s_.loop.now() + clients_come);
        }
    }
}

// Discovery, limits and log level are taken from the file as it is now, whatever the environment said of
// discovery at the start; the rest holds until the next start. Guards against a file half written or at fault:
// all stays as it was.
void Proxy::read_again() {
    const auto environment = [this](const char* name) -> const char* {
        return std::string_view(name) == "BALANCER_DISCOVERY" ? nullptr : s_.system.environment_variable(name);
    };
    try {
        const Config fresh = read_config(s_.system, environment);
        s_.config.discovery = fresh.discovery;
        s_.config.memory_mb = fresh.memory_mb;
        s_.config.sockets = fresh.sockets;
        s_.bound_sockets();
        s_.log.let(fresh.log_level);
        s_.log.info() << s_.config.name << " has read its configuration again";
        watcher_.discovery_moved();
    } catch (const BadConfig& fault) {
        s_.log.error() << fault.what() << "; all stays as it was";
    }
}

void Proxy::on_timer(memory::Connection&) {
    if (phase_ == stopping) {
        phase_ = closed;
        clients_.last_ones();
        s_.loop.set_timer(*signals_, end_at_ - last_words);
    } else if (phase_ == closed) {
        phase_ = answered;
        last_answers();
        s_.loop.set_timer(*signals_, end_at_);
    } else {
        phase_ = over;
    }
}

void Proxy::settle() {
    do {
        servers_.settle();
        watcher_.settle();
        clients_.settle();
    } while (!servers_.settled());
}

// What can't be waited for any longer gets its answer all the same, in time for it to be read.
void Proxy::last_answers() {
    s_.calls.each([this](memory::PendingCall& call) {
        if (!call.client) return;
        error(call.id);
        s_.balancer->client_left(s_.loop.now(), call.id);   // it has its answer: nothing more is sent for it
        s_.calls.erase_if_finished(call);
    });
    clients_.part_with_all();
}

void Proxy::send(CallId id, ServerId server, Span timeout) {
    if (auto* call = s_.calls.find(id)) servers_.send(*call, server, timeout);
}

void Proxy::cancel(CallId id, int attempt) {
    if (auto* call = s_.calls.find(id)) servers_.cancel(*call, attempt);
}

void Proxy::rate_limit(CallId id, Span retry_after) {
    auto* call = s_.calls.find(id);
    if (!call) return;
    s_.counters.add(Count::calls_rate_limited);
    clients_.give(*call, 429, "", wire::retry_after_field(retry_after));
}

void Proxy::error(CallId id) {
    auto* call = s_.calls.find(id);
    if (!call) return;
    s_.counters.add(Count::calls_errored);
    clients_.give(*call, 502, "");
}

void Proxy::probe(ServerId server) { servers_.probe(server); }

void Proxy::close_idle(ServerId id) {
    if (auto* server = s_.servers.find(id)) servers_.close_idle(*server, memory::CloseReason::idle);
}

void Proxy::watch_list() { watcher_.watch(); }

void Proxy::set_timer(Span after, uint64_t cookie) { s_.loop.schedule(s_.loop.now() + after, cookie); }

void Proxy::log(std::string_view line, ServerId about) {
    const auto* server = about ? s_.servers.find(about) : nullptr;
    auto out = s_.log.info();
    out << line;
    if (server) out << ' ' << server->uid << " at " << server->endpoint;
}

}  // namespace myrtleroute::run
