#include "rig/servers.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "rig/arrivals.hpp"
#include "rig/lists.hpp"
#include "wire/ask.hpp"
#include "wire/text.hpp"

namespace myrtleroute::rig {

using memory::Connection;
using memory::CloseReason;

namespace {

constexpr Span idle_close{60}, window{2};   // of connections; in which a cold server's work is weighed

}  // namespace

struct Servers::Line : Connection, wire::HttpHandler {
    Line(Servers& by, int fd, Server& of, int from)
        : Connection(by, fd, 16 * 1024, 256 * 1024), server(&of), proxy(from), http(wire::HttpParser::Side::request, *this) {}
    std::string name() const override { return "proxy"; }
    int start(std::string_view, std::string_view where, std::string_view) override {
        target = where;
        call = 0;
        product.clear();
        return 0;
    }
    int field(std::string_view name, std::string_view value) override {
        if (wire::equals_ignore_case(name, "X-Request-ID")) call = std::stoull("0" + std::string(value), nullptr, 16);
        if (wire::equals_ignore_case(name, "X-Priority-Class")) product = value;
        return 0;
    }
    void body(std::string_view) override {}
    Server* server;
    int proxy;
    wire::HttpParser http;
    std::string target, product;
    uint64_t call = 0;
    double began = 0;
    size_t record = 0;       // of connections_
    size_t shot = none;      // that is being worked on
    static constexpr size_t none = static_cast<size_t>(-1);
};

Servers::Servers(Experiment e, std::string directory, std::string name, int number, int of)
    : Part(std::move(e), std::move(directory), std::move(name)), number_(number), of_(of),
      chance_(e_.seed, 0x53455256u + static_cast<uint64_t>(number)), servers_(static_cast<size_t>(e_.servers)) {
    for (int i = 0; i < e_.servers; ++i) {
        auto& s = servers_[static_cast<size_t>(i)];
        s.number = i;
        s.size = e_.sizes[static_cast<size_t>(i) % e_.sizes.size()];
        if (!mine(i)) continue;
        open(s, false);
        tell("port " + std::to_string(static_cast<int>(Kind::server)) + " " + std::to_string(i) + " " + std::to_string(s.port));
    }
    tell("ready");
}

void Servers::told(const std::string& word, std::istringstream& more) {
    if (word != "fault" && word != "over" && word != "die" && word != "back") return;
    int number = 0;
    std::string who;
    if (word == "fault") {
        int kind;
        double how;
        more >> number >> kind >> how >> who;
        const auto in = read_list(who, servers_.size());
        for (auto& s : servers_)
            if (in[static_cast<size_t>(s.number)]) s.troubles[number] = {static_cast<FaultKind>(kind), how};
        return;
    }
    more >> who;
    if (word == "over") {
        number = std::stoi(who);
        for (auto& s : servers_)
            if (s.troubles.erase(number) && mine(s.number)) go_on(s);
        return;
    }
    const auto in = read_list(who, servers_.size());
    for (auto& s : servers_) {
        if (!mine(s.number) || !in[static_cast<size_t>(s.number)]) continue;
        if (word == "die") close(s);
        else if (!s.listener) open(s, true);
    }
}

void Servers::open(Server& s, bool cold) {
    const int fd = system_.listen_anywhere(s.port);
    if (fd < 0) throw std::runtime_error("server " + std::to_string(s.number) + " can't listen: " + std::strerror(errno));
    s.listener = &loop_.add(std::make_unique<Listener>(*this, fd));
    s.launched = cold ? loop_.now() : long_ago;
    s.lately.clear();
    s.tipped_until = long_ago;
}

void Servers::close(Server& s) {
    if (!s.listener) return;
    loop_.close(*std::exchange(s.listener, nullptr), CloseReason::stopping);
    for (auto& job : s.waiting) shots_[job.shot].fate = Fate::dropped;
    for (auto& job : s.running) shots_[job.shot].fate = Fate::dropped;
    s.waiting.clear();
    s.running.clear();
    while (!s.lines.empty()) end(*s.lines.front(), CloseReason::stopping, true);
}

void Servers::on_readable(Connection& c) {
    if (c.listens) {
        auto* s = &servers_[0];
        for (auto& each : servers_)
            if (each.listener == &c) s = &each;
        for (int fd; (fd = system_.accept(c.fd)) >= 0;) {
            const auto link = system_.link_of(fd);
            if (!link || link->kind != Kind::server || link->to != s->number) {
                system_.close(fd);
                continue;
            }
            connections_.push_back({at(loop_.now()), 0, link->to, link->from});
            auto& line = loop_.add(std::make_unique<Line>(*this, fd, *s, link->from));
            line.record = connections_.size() - 1;
            s->lines.push_back(&line);
            loop_.set_timer(line, loop_.now() + idle_close);
        }
        return;
    }
    auto& line = static_cast<Line&>(c);
    if (!line.in.empty() && !line.http.started()) line.began = at(loop_.now());
    while (!line.in.empty() && !line.http.done() && !line.http.fault()) line.in.drop(line.http.feed(line.in.front()));
    if (line.http.done() && line.shot == Line::none) asked(line);
    else if (line.http.fault()) return end(line, CloseReason::bad_call);
    if (c.open() && c.ended) end(line, CloseReason::peer_closed);
}

void Servers::on_error(Connection& c, int) {
    if (!c.listens) end(static_cast<Line&>(c), CloseReason::peer_reset);
}

void Servers::on_timer(Connection& c) { end(static_cast<Line&>(c), CloseReason::idle); }

// The connection is gone; what runs goes on and takes effect all the same, what waits is left undone.
void Servers::end(Line& line, CloseReason why, bool reset) {
    auto& s = *line.server;
    for (auto it = s.waiting.begin(); it != s.waiting.end();) {
        if (it->line != &line) {
            ++it;
            continue;
        }
        shots_[it->shot].fate = Fate::refused;
        it = s.waiting.erase(it);
    }
    for (auto& job : s.running)
        if (job.line == &line) job.line = nullptr;
    if (line.shot != Line::none) shots_[line.shot].ended = at(loop_.now());
    connections_[line.record].ended = at(loop_.now());
    s.lines.remove(&line);
    if (reset) system_.reset_on_close(line.fd);
    loop_.close(line, why);
}

const Servers::Trouble* Servers::trouble(const Server& s, FaultKind kind) const {
    for (const auto& [number, t] : s.troubles)
        if (t.kind == kind) return &t;
    return nullptr;
}

double Servers::warmth(const Server& s) const {
    return std::min(1.0, e_.start_capacity + (1 - e_.start_capacity) * ((loop_.now() - s.launched) / e_.warm_after));
}

// The same at every server and in every run.
double Servers::work_of(uint64_t call, const Product& p) const {
    lab::RandomStream chance(e_.seed, call);
    return e_.work_varies ? p.work * (0.5 + chance.exponential(0.5)) : p.work;
}

// What comes to a cold server within the window must stay under a multiple of what it can do in it; a few calls
// beyond are no push.
bool Servers::weigh(Server& s, double work) {
    const Time now = loop_.now();
    if (now < s.tipped_until) return false;
    if (warmth(s) >= 1) return true;
    s.lately.push_back({at(now), work});
    double all = 0, most = 0;
    while (s.lately.front().at < at(now) - window.s) s.lately.pop_front();
    for (const auto& a : s.lately) {
        all += a.work;
        most = std::max(most, a.work);
    }
    if (all <= e_.tip_multiple * e_.cores * s.size * warmth(s) * window.s + 4 * most) return true;
    tips_.push_back({s.lately.front().at, at(now), static_cast<uint16_t>(s.number)});
    s.tipped_until = now + e_.fall;
    s.lately.clear();
    return false;
}

void Servers::asked(Line& line) {
    auto& s = *line.server;
    const Time now = loop_.now();
    loop_.set_timer(line, now + idle_close);
    const bool probe = line.target.starts_with("/alive");
    line.shot = shots_.size();
    shots_.push_back({probe ? 0 : line.call, line.began, at(now), 0, 0, 0, static_cast<uint16_t>(s.number),
                      static_cast<uint16_t>(line.proxy), Fate::waits, false});
    auto& shot = shots_.back();
    if (probe) {
        if (!trouble(s, FaultKind::hang)) say(line, 200, "");
        return;
    }
    const auto product = std::find_if(e_.products.begin(), e_.products.end(), [&](auto& p) { return p.name == line.product; });
    if (product == e_.products.end() || line.call == 0) {
        shot.fate = Fate::refused;
        return say(line, line.call ? 400 : 404, "");
    }
    const double work = work_of(line.call, *product);
    shot.work = static_cast<float>(work);
    const auto* full = trouble(s, FaultKind::full);
    const bool turned_away = s.lines.size() > static_cast<size_t>(e_.connections) ||
                             s.waiting.size() >= static_cast<size_t>(e_.queue) || (full && chance_.bernoulli(full->how));
    if (!weigh(s, work) || turned_away) {
        shot.fate = Fate::refused;
        return say(line, 503, "", "X-Not-Processed: 1\r\n");
    }
    const auto* fails = trouble(s, FaultKind::fail);
    const auto* breaks = trouble(s, FaultKind::break_off);
    const bool failed = fails && chance_.bernoulli(fails->how);
    if (failed || (breaks && chance_.bernoulli(breaks->how))) {
        const bool ran = chance_.bernoulli(0.5);
        shot.fate = ran ? Fate::failed_run : Fate::failed_unrun;
        shot.executed = ran ? at(now) : 0;
        if (failed) return say(line, 500, "");
        return end(line, CloseReason::stopping, true);
    }
    s.waiting.push_back({line.shot, &line, work, 0});
    go_on(s);
}

void Servers::go_on(Server& s) {
    if (trouble(s, FaultKind::hang)) return;
    for (auto* line : std::vector<Line*>(s.lines.begin(), s.lines.end()))   // probes that hung
        if (line->shot != Line::none && shots_[line->shot].call == 0 && !shots_[line->shot].answered) say(*line, 200, "");
    const auto* slow = trouble(s, FaultKind::slow);
    while (!s.waiting.empty() && s.running.size() < static_cast<size_t>(std::max(1.0, e_.cores * s.size))) {
        Job job = s.waiting.front();
        s.waiting.pop_front();
        shots_[job.shot].fate = Fate::runs;
        job.number = next_job_++;
        working_[job.number] = s.number;
        loop_.schedule(loop_.now() + Span{job.work * (slow ? slow->how : 1) / warmth(s)}, job.number);
        s.running.push_back(job);
    }
}

void Servers::woken(uint64_t cookie) {
    const auto it = working_.find(cookie);
    if (it == working_.end()) return;
    auto& s = servers_[static_cast<size_t>(it->second)];
    working_.erase(it);
    const auto job = std::find_if(s.running.begin(), s.running.end(), [&](auto& j) { return j.number == cookie; });
    if (job == s.running.end()) return;   // the server died meanwhile
    // What a hanging server had begun is done when it goes on.
    if (trouble(s, FaultKind::hang)) {
        working_[cookie] = s.number;
        return loop_.schedule(loop_.now() + Span{0.05}, cookie);
    }
    const Job finished = *job;
    s.running.erase(job);
    done(s, finished);
    go_on(s);
}

void Servers::done(Server& s, Job job) {
    auto& shot = shots_[job.shot];
    shot.fate = Fate::executed;
    shot.executed = at(loop_.now());
    if (!job.line) return;
    char body[64];
    std::snprintf(body, sizeof body, "%llx from %d", static_cast<unsigned long long>(shot.call), s.number);
    say(*job.line, 200, body);
}

void Servers::say(Line& line, int status, std::string_view body, std::string_view fields) {
    auto& shot = shots_[line.shot];
    shot.answered = true;
    shot.ended = at(loop_.now());
    line.shot = Line::none;
    line.out.push(wire::format_response(status, body, true, fields));
    line.http.next();
    loop_.set_timer(line, loop_.now() + idle_close);
    loop_.flush(line);
    if (!line.in.empty()) on_readable(line);
}

void Servers::finish() {
    write_records(file("shots"), shots_);
    write_records(file("connections"), connections_);
    write_records(file("tips"), tips_);
}

}  // namespace myrtleroute::rig
