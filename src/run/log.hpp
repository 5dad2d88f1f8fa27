// Log lines on standard error, with a level filter.
#pragma once
#include <chrono>
#include <iomanip>
#include <iostream>
#include <optional>
#include <sstream>
#include <string_view>

namespace myrtleroute::run {

enum class Level { debug, info, warning, error };
constexpr const char* level_names[] = {"debug", "info", "warning", "error"};

inline std::optional<Level> read_level(std::string_view text) {
    for (int i = 0; i < 4; ++i)
        if (text == level_names[i]) return static_cast<Level>(i);
    return {};
}

class Log {
public:
    explicit Log(Level least, std::ostream& out = std::cerr) : least_(least), out_(out) {}

    // Collects a line and writes it whole when it goes out of scope.
    class Line {
    public:
        Line(std::ostream* out, Level level) : out_(out) {
            if (!out_) return;
            const auto now = std::chrono::system_clock::now().time_since_epoch();
            text_ << std::fixed << std::setprecision(3) << std::chrono::duration<double>(now).count() << ' '
                  << level_names[static_cast<int>(level)] << ' ';
            text_.unsetf(std::ios::fixed);
        }
        ~Line() {
            if (!out_) return;
            text_ << '\n';
            *out_ << text_.str() << std::flush;
        }
        Line(const Line&) = delete;
        template <class T>
        Line& operator<<(const T& what) {
            if (out_) text_ << what;
            return *this;
        }

    private:
        std::ostream* out_;
        std::ostringstream text_;
    };

    void let(Level least) { least_ = least; }   // from now on
    bool writes(Level level) const { return level >= least_; }
    Line at(Level level) { return {writes(level) ? &out_ : nullptr, level}; }
    Line debug() { return at(Level::debug); }
    Line info() { return at(Level::info); }
    Line warning() { return at(Level::warning); }
    Line error() { return at(Level::error); }

private:
    Level least_;
    std::ostream& out_;
};

}  // namespace myrtleroute::run
