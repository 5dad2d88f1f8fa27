// Tests of the rig: effects of faults on streams and datagrams, arrivals from the seed, metrics, violations that the judge
// must detect, and the end of child processes with their parent.
#include <dirent.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <set>

#include "rig/arrivals.hpp"
#include "rig/conductor.hpp"
#include "rig/figures.hpp"
#include "rig/judge.hpp"
#include "rig/lists.hpp"
#include "rig/stream.hpp"

namespace lab = myrtleroute::lab;
using myrtleroute::Idempotency;
using namespace myrtleroute::rig;

namespace {

struct Folder {
    Folder() : path((std::filesystem::temp_directory_path() / ("rig-test-" + std::to_string(::getpid()))).string()) {
        std::filesystem::create_directories(path);
    }
    ~Folder() { std::filesystem::remove_all(path); }
    std::string file(const std::string& name, const std::string& text) const {
        std::ofstream(path + "/" + name) << text;
        return path + "/" + name;
    }
    std::string path;
};

// All bytes that a stream returns by `now`; its end as `|`, a reset as `!`.
std::string popped(Stream& s, double now, const Impairment& t = {}) {
    std::string all, bytes;
    auto then = Stream::Event::none;
    while (s.pop({now}, t, bytes, then)) {
        all += bytes;
        if (then != Stream::Event::none) all += then == Stream::Event::eof ? "|" : "!";
    }
    return all;
}

}  // namespace

TEST_CASE("a stream under faults reorders or invents bytes, passes them while cut, or ends before the last byte") {
    lab::RandomStream chance(1, 1);
    Stream s;
    SECTION("no fault: passed at once") {
        s.push({1}, "ab", {}, chance);
        s.push({1}, "c", {}, chance);
        s.end({1}, {}, chance, Stream::Event::eof);
        CHECK(popped(s, 1) == "abc|");
    }
    SECTION("delay with jitter: later, in order") {
        Impairment t;
        t.delay = 0.1;
        t.jitter = 0.1;
        std::string sent;
        for (char c = 'a'; c <= 'z'; ++c) {
            s.push({1}, std::string(1, c), t, chance);
            sent += c;
        }
        CHECK(popped(s, 1.09, t).empty());
        CHECK(popped(s, 1.21, t) == sent);
    }
    SECTION("stall and cut: held, passed after the fault") {
        Impairment t;
        t.cut = GENERATE(false, true);
        t.stall = !t.cut;
        s.push({1}, "abc", t, chance);
        CHECK(popped(s, 50, t).empty());
        CHECK(popped(s, 50) == "abc");
    }
    SECTION("throttle: limited bytes per second") {
        Impairment t;
        t.rate = 10;
        for (int i = 0; i < 4; ++i) s.push({1}, "0123456789", t, chance);
        CHECK(popped(s, 2.01, t).size() == 10);
        CHECK(popped(s, 4.01, t).size() == 20);
    }
    SECTION("loss: delayed by the retransmission, in order") {
        Impairment t;
        t.loss = 1;
        s.push({1}, "a", t, chance);
        s.push({1.01}, "b", {}, chance);
        CHECK(popped(s, 1.1, t).empty());
        CHECK(popped(s, 20, t) == "ab");
    }
    SECTION("mangle: a gap, then a reset; half-close: end of stream, nothing after it") {
        Impairment t;
        (GENERATE(false, true) ? t.mangle : t.half_close) = 1;
        s.push({1}, "abcdefghi", t, chance);
        s.push({1}, "more", t, chance);
        s.end({1}, t, chance, Stream::Event::eof);
        CHECK(popped(s, 1, t) == (t.mangle > 0 ? "abcghi!" : "abcdefghi|"));
    }
    SECTION("bounded: holds no more than its limit") {
        Impairment t;
        t.stall = true;
        s.push({1}, std::string(max_in_flight, 'x'), t, chance);
        CHECK(s.room() == 0);
        CHECK(popped(s, 1).size() == max_in_flight);
        CHECK(s.room() == max_in_flight);
    }
}

TEST_CASE("arrivals differ for the same seed, miss the configured mean, or a burst reaches another proxy") {
    Experiment e;
    e.proxies = 50;
    e.duration = {40};
    e.products = {{.name = "a", .share = 3}, {.name = "b", .share = 1}};
    e.distribution = GENERATE("equal", "pareto", "zipf", "one");
    const auto all = rates(e);
    double sum = 0;
    for (const double r : all) sum += r;
    CHECK(sum == Approx(e.rate * e.proxies));
    if (e.distribution == "one") CHECK(*std::max_element(all.begin(), all.end()) == Approx(0.2 * sum));
    double calls = 0, of_b = 0;
    for (int p = 0; p < e.proxies; ++p) {
        Arrivals one(e, all, p), other(e, all, p);
        for (; one.next().at.s < e.duration.s; one.advance(), other.advance()) {
            REQUIRE(one.next().at == other.next().at);
            ++calls;
            of_b += one.next().product == 1;
        }
    }
    CHECK(calls == Approx(e.rate * e.proxies * e.duration.s).epsilon(0.05));
    CHECK(of_b / calls == Approx(0.25).epsilon(0.1));
    // A burst of one proxy leaves the others unchanged.
    e.distribution = "equal";
    e.bursts.push_back({read_group("proxies 0", e), {10}, {10}, 5});
    const auto equal = rates(e);
    const auto within = [&](int p) {
        double n = 0;
        for (Arrivals a(e, equal, p); a.next().at.s < 20; a.advance()) n += a.next().at.s >= 10;
        return n;
    };
    CHECK(within(0) > 140);
    CHECK(within(1) < 80);
}

TEST_CASE("a group of parties is parsed wrongly or an invalid one is accepted") {
    Experiment e;
    e.proxies = 10;
    e.servers = 4;
    e.zones = 3;
    const auto [words, members] = GENERATE(table<std::string, std::string>({
        {"proxies", "0-9"}, {"proxies 3", "3"}, {"proxies 2-4", "2-4"}, {"proxies every 3", "0,3,6,9"},
        {"servers zone b", "1"}, {"applications zone a", "0,3,6,9"}, {"discovery", "0"},
    }));
    const auto g = read_group(words, e);
    CHECK(write_list(g.members) == members);
    const auto in = read_list(members, 10);
    for (int i = 0; i < 10; ++i)
        CHECK(in[static_cast<size_t>(i)] == (std::find(g.members.begin(), g.members.end(), i) != g.members.end()));
    for (const char* bad : {"", "people", "proxies 10", "proxies 4-2", "proxies x", "proxies zone d", "proxies 1 2 3", "servers every x"})
        CHECK_THROWS_AS(read_group(bad, e), std::invalid_argument);
}

TEST_CASE("an error in an experiment file is reported without file, line, column, key or allowed values") {
    const auto [text, place, what] = GENERATE(table<std::string, std::string, std::string>({
        {"proxies = 0", ":1:11: ", "proxies must be a number between 1 and 1023"},
        {"speed = 1", ":1:1: ", "speed is no key"},
        {"[load]\nlaw = \"even\"", ":2:7: ", "law must be one of equal, pareto, zipf, one"},
        {"[[fault]]\nkind = \"storm\"", ":2:8: ", "kind must name a fault"},
        {"[[fault]]\nkind = \"kill\"\nwho = \"servers\"", ":3:7: ", "who of this kind of fault must be proxies"},
        {"proxies = 5\n[[fault]]\nkind = \"kill\"\nwho = \"proxies 5\"", ":4:7: ", "there are 0 to 4"},
        {"[[fault]]\nkind = \"cut\"\nto = \"applications\"", ":3:6: ", "to must be proxies"},
        {"[[fault]]\nkind = \"hang\"\nto = \"servers\"", ":3:6: ", "to goes with faults of links only"},
        {"[[fault]]\nkind = \"throttle\"", ":1:1: ", "rate must be above 0"},
        {"[[product]]\nname = \"a\"\n[[product]]\nname = \"a\"", ":1:", "product must have names of their own"},
        {"relayed = [\"all\"]", ":1:12: ", "must be one of applications"},
        {"[server]\nsizes = [1, 0]", ":2:9: ", "sizes must be a list"},
        {"proxies = ", ":1:", ""},
    }));
    const Folder folder;
    const auto path = folder.file("bad.toml", text);
    std::string said;
    try {
        read_experiment(path);
    } catch (const ScenarioError& fault) {
        said = fault.what();
    }
    CAPTURE(text, said);
    CHECK(said.starts_with(path + place));
    CHECK(said.find(what) != said.npos);
    CHECK(said.find('\n') == said.npos);
}

TEST_CASE("evenness of known numbers is computed wrongly, or a quantile is beyond the histogram's error") {
    const auto e = spread_of({1, 2, 3, 0, 4});
    CHECK(e.max == Approx(2));
    CHECK(e.min == 0);
    CHECK(e.idle == 1);
    CHECK(e.cv == Approx(std::sqrt(2.0) / 2));
    Histogram h;
    for (int i = 1; i <= 1000; ++i) h.add(i * 0.001);
    CHECK(h.quantile(0.5) == Approx(0.5).epsilon(0.015));
    CHECK(h.quantile(0.99) == Approx(0.99).epsilon(0.015));
    h.add(1e9);   // beyond the range: counted in the last bucket
    CHECK(h.total() == 1001);
    CHECK(Histogram().quantile(0.5) == 0);
}

TEST_CASE("an experiment that needs too many descriptors is not rejected before its start") {
    Experiment e;
    e.proxies = 300;
    e.servers = 60;
    CHECK(process_counts(e, 20000).servers >= 1);
    e.relayed = {Kind::server};
    CHECK(process_counts(e, 20000).relays >= 1);
    CHECK_THROWS_AS(process_counts(e, 1500), StartFailure);
}

namespace {

// A run of two proxies, two servers and one call that keeps all rules; its load starts at 100 s.
RunRecord passing_record(Idempotency idempotency) {
    RunRecord d;
    d.e.proxies = d.e.servers = 2;
    d.e.products = {{.name = "seat", .idempotency = idempotency}};
    d.e.faults.resize(1);
    d.start = 100;
    d.end = 125;
    d.complete = true;
    for (int p = 0; p < 2; ++p) {
        d.incarnations.push_back({p, 99, 0, ""});
        for (double t = 99.5; t < 126; t += 5) {
            d.discovery_records.push_back({t, 0, static_cast<uint16_t>(p), true});
            d.discovery_records.push_back({t + 4.9, 2, static_cast<uint16_t>(p), false});
        }
    }
    std::sort(d.discovery_records.begin(), d.discovery_records.end(), [](auto& a, auto& b) { return a.at < b.at; });
    d.list = {{99, 0, 1, 0, 0, ListedState::serving}, {99, 0, 2, 1, 0, ListedState::serving}};
    d.calls = {{call_id(0, 1), 110, 110, 110.1, 0, 200, CallOutcome::answered, 1}};
    d.attempts = {{call_id(0, 1), 110.01, 110.01, 110.09, 110.09, 0.05f, 0, 0, AttemptOutcome::executed, true}};
    return d;
}
void second_attempt(RunRecord& d, double at, double executed) {
    d.attempts.push_back({call_id(0, 1), at, at, at + 0.05, executed, 0.05f, 1, 0, AttemptOutcome::executed, true});
}

}  // namespace

TEST_CASE("the judge misses a broken rule, reports a correct run, or excuses what no fault explains") {
    struct Case {
        const char* name;
        Rule rule;
        Idempotency idempotency;
        void (*break_rule)(RunRecord&);
        FaultKind fault;      // the fault that excuses it, if excusable
        Kind link;
        bool excusable;
    };
    const auto c = GENERATE(values<Case>({
        {"no answer", Rule::one_answer, Idempotency::idempotent,
         [](RunRecord& d) { d.calls[0].end = CallOutcome::disconnected, d.calls[0].status = 0; }, FaultKind::kill,
         Kind::none, true},
        {"late answer", Rule::one_answer, Idempotency::idempotent, [](RunRecord& d) { d.calls[0].ended = 112.5; },
         FaultKind::pause, Kind::none, true},
        {"no answer before the timeout", Rule::one_answer, Idempotency::idempotent,
         [](RunRecord& d) { d.calls[0].end = CallOutcome::timed_out, d.calls[0].ended = 112.7; }, FaultKind::cut,
         Kind::application, true},
        {"answer of another call", Rule::right_answer, Idempotency::idempotent,
         [](RunRecord& d) { d.calls[0].end = CallOutcome::wrong; }, FaultKind::hang, Kind::none, false},
        {"non-idempotent call executed twice", Rule::no_effect_twice, Idempotency::non_idempotent,
         [](RunRecord& d) { second_attempt(d, 110.095, 110.098); }, FaultKind::cut, Kind::server, false},
        {"deduplicated call executed again after its window", Rule::no_effect_twice, Idempotency::deduplicated,
         [](RunRecord& d) { d.e.products[0].window = 0.01, second_attempt(d, 110.095, 110.098); }, FaultKind::cut,
         Kind::server, false},
        {"rate-limited after its effect", Rule::no_false_promise, Idempotency::non_idempotent,
         [](RunRecord& d) { d.calls[0].status = 429; }, FaultKind::break_off, Kind::none, false},
        {"second attempt while the first is open", Rule::no_second_copy, Idempotency::idempotent,
         [](RunRecord& d) { d.attempts[0].ended = 111, d.calls[0].ended = 111, second_attempt(d, 110.2, 110.3); },
         FaultKind::cut, Kind::server, true},
        {"attempt after the final answer", Rule::no_shot_after, Idempotency::idempotent,
         [](RunRecord& d) { second_attempt(d, 111, 111.1); }, FaultKind::cut, Kind::server, true},
        {"call to a draining server", Rule::drains, Idempotency::idempotent,
         [](RunRecord& d) {
             d.list.push_back({100.5, 0, 2, 0, 0, ListedState::draining});
         },
         FaultKind::silent, Kind::none, false},
        {"cold server overloaded", Rule::cold_servers, Idempotency::idempotent,
         [](RunRecord& d) {
             d.list.push_back({100.5, 1.7e9, 2, 0, 0, ListedState::serving});
             d.overloads.push_back({109.5, 110.5, 0});
         },
         FaultKind::die, Kind::none, false},
        {"discovery neither watched nor called", Rule::listens, Idempotency::idempotent,
         [](RunRecord& d) {
             std::erase_if(d.discovery_records, [](auto& t) { return t.proxy == 1 && t.at > 104.45 && t.at < 119; });
         },
         FaultKind::silent, Kind::none, true},
        {"process crashed", Rule::no_crash, Idempotency::idempotent, [](RunRecord& d) { d.lost.push_back("proxy 1"); },
         FaultKind::kill, Kind::none, false},
        {"process did not end", Rule::all_back, Idempotency::idempotent,
         [](RunRecord& d) { d.left.push_back("proxy 1"); }, FaultKind::pause, Kind::none, false},
    }));
    CAPTURE(c.name);
    RunRecord d = passing_record(c.idempotency);
    CHECK(judge(d).passed());
    c.break_rule(d);
    const auto verdict = judge(d);
    REQUIRE(verdict.violations.size() == 1);
    CHECK(std::string(name_of(verdict.violations[0].rule)) == name_of(c.rule));
    // The same run under a fault: excused only if the fault explains the violation and hit the same proxy.
    auto& f = d.e.faults[0];
    f.kind = c.fault;
    f.link = c.link;
    f.to.members = c.link == Kind::discovery ? std::vector<int>{0} : std::vector<int>{0, 1};
    const bool of_all = c.fault == FaultKind::silent;
    for (const int who : {0, 1}) {
        f.who.members = {who};
        d.applied_faults = {{0, 109, 119, {who}}};
        const bool its = of_all || who == (c.rule == Rule::listens ? 1 : 0);
        CHECK(judge(d).passed() == (c.excusable && its));
    }
}

namespace {

std::set<pid_t> children(pid_t of) {
    std::set<pid_t> all;
    DIR* proc = ::opendir("/proc");
    while (const auto* entry = ::readdir(proc)) {
        std::ifstream stat(std::string("/proc/") + entry->d_name + "/stat");
        std::string text;
        if (!std::getline(stat, text)) continue;
        std::istringstream rest(text.substr(text.rfind(')') + 1));
        std::string state;
        pid_t parent = 0;
        rest >> state >> parent;
        if (parent == of && state != "Z") all.insert(std::stoi(entry->d_name));
    }
    ::closedir(proc);
    return all;
}
bool within(double seconds, const std::function<bool()>& so) {
    for (int i = 0; i < seconds * 50; ++i) {
        if (so()) return true;
        ::usleep(20000);
    }
    return so();
}

}  // namespace

TEST_CASE("a process survives the rig that started it: rig killed, interrupted, or a start fails") {
    const Folder folder;
    const auto file = folder.file("day.toml", "proxies = 4\nservers = 2\nlasts_s = 60\nrelayed = [\"servers\"]\nslack_s = 5\n");
    const auto fails = folder.file("fails.sh", "#!/bin/sh\nsleep 0.5\nexit 1\n");
    std::filesystem::permissions(fails, std::filesystem::perms::owner_all);
    const auto how = GENERATE(values<std::string>({"kill", "interrupt", "bad program"}));
    CAPTURE(how);
    ProcessOptions what;
    what.arguments = {MYRTLEROUTE_FLEET,
                      "run",
                      file,
                      "--dir",
                      folder.path + "/" + std::to_string(how.size()),
                      "--program",
                      how == "bad program" ? fails : MYRTLEROUTE_PROGRAM};
    what.output = folder.path + "/out";
    const pid_t pid = spawn(what);
    REQUIRE(pid > 0);
    std::set<pid_t> all;
    int status = -1;
    if (how == "bad program") {
        CHECK(within(30, [&] {
            for (const pid_t child : children(pid)) all.insert(child);
            return ::waitpid(pid, &status, WNOHANG) == pid;
        }));
        CHECK(WEXITSTATUS(status) == 2);
    } else {
        // 4 proxies, one process each of servers, discovery, relay and load
        REQUIRE(within(30, [&] { return (all = children(pid)).size() == 8; }));
        ::usleep(500000);
        ::kill(pid, how == "kill" ? SIGKILL : SIGINT);
        CHECK(within(20, [&] { return ::waitpid(pid, &status, WNOHANG) == pid; }));
        if (how == "interrupt") CHECK(WEXITSTATUS(status) == 130);
    }
    CHECK(!all.empty());
    CHECK(within(10, [&] {
        return std::all_of(all.begin(), all.end(), [](pid_t p) {
            std::ifstream stat("/proc/" + std::to_string(p) + "/stat");
            std::string text;
            return !std::getline(stat, text) || text.substr(text.rfind(')') + 2, 1) == "Z";
        });
    }));
}

TEST_CASE("datagrams between proxies get wrong addresses, pass a cut link, or are not duplicated under the fault") {
    const Folder folder;
    const auto file = folder.file("day.toml", "proxies = 2\nservers = 1\n");
    int ends[2];
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends) == 0);
    ProcessOptions what;
    what.arguments = {MYRTLEROUTE_FLEET, "part", "relay", "--file", file, "--seed", "1", "--dir", folder.path};
    what.output = folder.path + "/out";
    what.control_fd = ends[1];
    const pid_t pid = spawn(what);
    ::close(ends[1]);
    RigSystem system;
    std::vector<int> sockets;
    for (const int proxy : {0, 1}) {
        const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        sockaddr_in at = address(listen_ip(proxy), 0);
        socklen_t size = sizeof at;
        REQUIRE(::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
        REQUIRE(::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) == 0);
        const auto line = "backend 4 " + std::to_string(proxy) + " " + std::to_string(listen_ip(proxy)) + " " +
                          std::to_string(ntohs(at.sin_port)) + "\n";
        REQUIRE(::write(ends[0], line.data(), line.size()) > 0);
        sockets.push_back(fd);
    }
    std::string said;
    const auto send_line = [&](const std::string& line) { REQUIRE(::write(ends[0], line.data(), line.size()) > 0); };
    while (std::count(said.begin(), said.end(), '\n') < 2) {
        char bytes[256];
        const auto n = ::read(ends[0], bytes, sizeof bytes);
        REQUIRE(n > 0);
        said.append(bytes, static_cast<size_t>(n));
    }
    const auto port = static_cast<uint16_t>(std::stoi(said.substr(said.rfind(' '))));
    const auto send = [&](int from, int to, const std::string& text) {
        const auto at = address(ip_of({Kind::peer, static_cast<uint16_t>(from), static_cast<uint16_t>(to)}), port);
        REQUIRE(::sendto(sockets[static_cast<size_t>(from)], text.data(), text.size(), 0, reinterpret_cast<const sockaddr*>(&at),
                         sizeof at) > 0);
    };
    const auto receive =
        [&](int at, double seconds) -> std::string {   // the datagram with its sender's address; empty: timeout
        pollfd p{sockets[static_cast<size_t>(at)], POLLIN, 0};
        if (::poll(&p, 1, static_cast<int>(seconds * 1000)) != 1) return "";
        char bytes[256];
        sockaddr_in from{};
        socklen_t size = sizeof from;
        const auto n = ::recvfrom(p.fd, bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&from), &size);
        return std::string(bytes, static_cast<size_t>(n)) + " from " + endpoint(ntohl(from.sin_addr.s_addr), ntohs(from.sin_port));
    };
    const auto as = [&](int from, int to) {
        return " from " + endpoint(ip_of({Kind::peer, static_cast<uint16_t>(to), static_cast<uint16_t>(from)}), port);
    };
    send(0, 1, "there");
    CHECK(receive(1, 10) == "there" + as(0, 1));
    send(1, 0, "back");
    CHECK(receive(0, 10) == "back" + as(1, 0));
    // The relay applies commands in the order in which they are sent.
    send_line("rule 1 4 0 0 0 0 0 0 0 0 0 1 0 0 1\nrule 2 4 0 0 0 0 0 0 0 1 0 0 0 1 0\n");
    ::usleep(300000);
    send(0, 1, "lost");
    send(1, 0, "twice");
    CHECK(receive(0, 10) == "twice" + as(1, 0));
    CHECK(receive(0, 10) == "twice" + as(1, 0));
    CHECK(receive(1, 0.2).empty());
    send_line("over 1\n");
    ::usleep(300000);
    send(0, 1, "again");
    CHECK(receive(1, 10) == "again" + as(0, 1));
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
    for (const int fd : {sockets[0], sockets[1], ends[0]}) ::close(fd);
}
