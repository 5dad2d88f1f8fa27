#include "rig/part.hpp"

#include <fcntl.h>
#include <time.h>

#include <iomanip>

#include "rig/lines.hpp"

namespace myrtleroute::rig {

namespace {

constexpr uint64_t check_cookie = ~0ULL;
constexpr Span check_interval{0.02}, max_delay{0.03};

double processor_time() {
    timespec t{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) / 1e9;
}

}  // namespace

struct Part::Control : memory::Connection, memory::ConnectionHandler {
    Control(Part& part, int fd) : Connection(*this, fd, 256 * 1024, 1024 * 1024), part(part) {}
    std::string name() const override { return "conductor"; }
    void on_readable(Connection& c) override { part.read_commands(c); }
    void on_error(Connection&, int) override { part.stopping_ = true; }
    void on_timer(Connection&) override {}
    Part& part;
    std::string line;
};

Part::Part(Experiment e, std::string directory, std::string name)
    : e_(std::move(e)), log_(run::Level::warning, system_), loop_(log_, system_), directory_(std::move(directory)),
      name_(std::move(name)) {
    ::fcntl(control_fd, F_SETFL, O_NONBLOCK);
    ::fcntl(control_fd, F_SETFD, FD_CLOEXEC);
    control_ = &loop_.add(std::make_unique<Control>(*this, control_fd));
}

void Part::read_commands(memory::Connection& c) {
    take_lines(c.in, static_cast<Control&>(c).line, [this](const std::string& line) {
        std::istringstream words(line);
        std::string word;
        words >> word;
        if (word == "end") {
            stopping_ = true;
        } else {
            if (word == "go") words >> start_.s;
            on_command(word, words);
        }
    });
    if (c.ended) stopping_ = true;
}

void Part::send_line(const std::string& line) {
    control_->out.push(line + "\n");
    loop_.flush(*control_);
}

// Guards against blaming proxies for delays of a busy machine: a late periodic timer shows that no process was scheduled
// in time.
void Part::check_delay() {
    const Time now = loop_.now();
    if (now - next_check_ > max_delay) starved_.push_back({at(next_check_), at(now)});
    next_check_ = now + check_interval;
    loop_.schedule(next_check_, check_cookie);
    if (now - second_at_ < Span{1}) return;
    const double cpu = processor_time();
    busiest_ = std::max(busiest_, (cpu - cpu_) / (now - second_at_).s);
    cpu_ = cpu;
    second_at_ = now;
}

int Part::run() {
    next_check_ = second_at_ = system_.now();
    check_delay();
    const auto any_timer_fired = [this](uint64_t cookie) {
        cookie == check_cookie ? check_delay() : timer_fired(cookie);
    };
    while (!stopping_) loop_.run_once(any_timer_fired, [] {});
    write_results();
    write_records(file("starved"), starved_);
    std::ostringstream busy;
    busy << "busiest " << std::setprecision(3) << busiest_ << '\n';
    const auto text = busy.str();
    control_->out.push(text);
    loop_.flush(*control_);
    return 0;
}

}  // namespace myrtleroute::rig
