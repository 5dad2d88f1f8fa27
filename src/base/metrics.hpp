// Metrics of a process: counters and gauges, rendered in the Prometheus text exposition format 0.0.4.
//
// There is one registry per process (or per test), passed by reference. Code that counts something gets a handle from
// the registry once and keeps it; updating a handle is a single addition or assignment. Not thread-safe: use the
// registry and its handles only on the event loop's thread.
#pragma once
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace myrtleroute::metrics {

// Content type of the output of `Registry::render`.
inline constexpr std::string_view content_type = "text/plain; version=0.0.4; charset=utf-8";

// Counts the series that a registry rejected: too many series, an invalid name, or a name in use by the other kind.
inline constexpr std::string_view overflow_name = "myrtleroute_metrics_overflow_series_total";

// Pairs of label name and value; names match [a-zA-Z_][a-zA-Z0-9_]*, values are any UTF-8 text.
using Labels = std::vector<std::pair<std::string, std::string>>;

// A value that only increases, from 0 at process start. The handle stays valid after its series is removed.
class Counter {
public:
    void add(double amount = 1) { *value_ += amount; }
    double value() const { return *value_; }

private:
    friend class Registry;
    explicit Counter(std::shared_ptr<double> value) : value_(std::move(value)) {}
    std::shared_ptr<double> value_;
};

// A value that can go up and down. The handle stays valid after its series is removed.
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
    size_t max_series = 4096;   // further series are not rendered, only counted in `overflow_name`
};

class Registry {
public:
    explicit Registry(RegistryOptions options = {}) : options_(options) {}
    Registry(const Registry&) = delete;
    Registry& operator=(const Registry&) = delete;

    // Returns a handle of the series with that name and labels, which is created at the first call. `help` is taken
    // from the first call with that name. If there are too many series, a name is invalid or the name is in use by the
    // other kind, the overflow counter is incremented and the handle works, but its series is not rendered.
    Counter counter(const std::string& name, const std::string& help, const Labels& labels = {});
    Gauge gauge(const std::string& name, const std::string& help, const Labels& labels = {});

    // Removes a series if it exists. Later updates of its handles are not rendered.
    void remove(const std::string& name, const Labels& labels);

    // Number of series, without rejected ones.
    size_t series() const { return series_; }

    // Renders all series in the text format, sorted by name and labels.
    std::string render() const;

private:
    enum class Kind { counter, gauge };
    struct Family {
        Kind kind;
        std::string help;
        std::map<std::string, std::shared_ptr<double>> series;   // by rendered labels
    };
    std::shared_ptr<double> find_or_add(const std::string& name, const std::string& help, const Labels& labels,
                                        Kind kind);
    std::shared_ptr<double> reject_series();
    static void render_family(std::string& text, const std::string& name, const Family& family);

    RegistryOptions options_;
    std::map<std::string, Family> families_;
    size_t series_ = 0;
    double overflow_ = 0;
};

// Escapes backslash, double quote and line feed for use in a quoted label value.
std::string escape_label_value(std::string_view value);

}   // namespace myrtleroute::metrics
