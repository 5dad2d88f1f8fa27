// Figures that a process tells about itself: counters and gauges, rendered in the Prometheus text exposition format 0.0.4.
//
// One registry belongs to one process (or to one test) and is passed by reference. Whoever counts asks the registry for
// a handle once and keeps it; adding to a handle is a single addition. Not safe for several threads: handles and
// registry are used from the thread of the event loop.
#pragma once
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace myrtleroute::metrics {

// Content type of what `Registry::render` gives.
inline constexpr std::string_view content_type = "text/plain; version=0.0.4; charset=utf-8";

// Counts the series that a registry had no room for, or whose name it refused.
inline constexpr std::string_view overflow_name = "myrtleroute_metrics_overflow_series_total";

// A name and a value each; names are [a-zA-Z_][a-zA-Z0-9_]*, values are any UTF-8 text.
using Labels = std::vector<std::pair<std::string, std::string>>;

// A value that only rises, from 0 at the start of the process. Its handle stays valid after the series is removed.
class Counter {
public:
    void add(double amount = 1) { *value_ += amount; }
    double value() const { return *value_; }

private:
    friend class Registry;
    explicit Counter(std::shared_ptr<double> value) : value_(std::move(value)) {}
    std::shared_ptr<double> value_;
};

// A value that goes up and down. Its handle stays valid after the series is removed.
class Gauge {
public:
    void set(double value) { *value_ = value; }
    double value() const { return *value_; }

private:
    friend class Registry;
    explicit Gauge(std::shared_ptr<double> value) : value_(std::move(value)) {}
    std::shared_ptr<double> value_;
};

struct RegistryOptions {
    size_t max_series = 4096;   // further ones are counted, and not shown
};

class Registry {
public:
    explicit Registry(RegistryOptions options = {}) : options_(options) {}
    Registry(const Registry&) = delete;
    Registry& operator=(const Registry&) = delete;

    // The series of that name and those labels, made at the first call; the same series at every later one. `help` is
    // that of the name's first call. Where there is no room, where a name is unsound or where the name belongs to the
    // other kind, the handle works, is not shown, and the overflow counter rises.
    Counter counter(const std::string& name, const std::string& help, const Labels& labels = {});
    Gauge gauge(const std::string& name, const std::string& help, const Labels& labels = {});

    // Forgets a series; nothing where there is none. What handles add to it afterwards is not shown.
    void remove(const std::string& name, const Labels& labels);

    size_t series() const { return series_; }

    // Everything as text, sorted by name and labels.
    std::string render() const;

private:
    enum class Kind { counter, gauge };
    struct Family {
        Kind kind;
        std::string help;
        std::map<std::string, std::shared_ptr<double>> series;   // by labels as they are rendered
    };
    std::shared_ptr<double> find_or_add(const std::string& name, const std::string& help, const Labels& labels,
                                        Kind kind);
    std::shared_ptr<double> refused();
    static void render_family(std::string& text, const std::string& name, const Family& family);

    RegistryOptions options_;
    std::map<std::string, Family> families_;
    size_t series_ = 0;
    double overflow_ = 0;
};

// A label's value as it stands between quotes: backslash, quote and line feed are escaped.
std::string escape_label_value(std::string_view value);

}   // namespace myrtleroute::metrics
