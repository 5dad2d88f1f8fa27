// Log lines with a minimum level, by default on standard error.
#pragma once
#include <iomanip>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

#include "run/system.hpp"

namespace myrtleroute::run {

enum class Level { debug, info, warning, error };
constexpr const char* level_names[] = {"debug", "info", "warning", "error"};

inline std::optional<Level> parse_level(std::string_view text) {
    for (int i = 0; i < 4; ++i)
        if (text == level_names[i]) return static_cast<Level>(i);
    return {};
}

class Log {
public:
    Log(Level min, System& system, std::ostream& out = std::cerr) : min_(min), system_(system), out_(out) {}

    ~Log() { flush(); }
    // Writes the lines collected since the last flush; once per loop iteration, so that many lines cost one write.
    void flush() {
        if (!lines_.empty()) out_ << lines_ << std::flush;
        lines_.clear();
    }

    // Collects a line and appends it to the log when it goes out of scope.
    class Line {
    public:
        Line(std::string* lines, Level level, System& system) : lines_(lines) {
            if (!lines_) return;
            text_ << std::fixed << std::setprecision(3) << system.unix_time() << ' '
                  << level_names[static_cast<int>(level)] << ' ';
            text_.unsetf(std::ios::fixed);
        }
        ~Line() {
            if (lines_) lines_->append(text_.str()).append("\n");
        }
        Line(const Line&) = delete;
        template <class T>
        Line& operator<<(const T& value) {
            if (lines_) text_ << value;
            return *this;
        }

    private:
        std::string* lines_;
        std::ostringstream text_;
    };

    void set_level(Level min) { min_ = min; }
    bool is_enabled(Level level) const { return level >= min_; }
    Line at(Level level) { return {is_enabled(level) ? &lines_ : nullptr, level, system_}; }
    Line debug() { return at(Level::debug); }
    Line info() { return at(Level::info); }
    Line warning() { return at(Level::warning); }
    Line error() { return at(Level::error); }

private:
    Level min_;
    System& system_;
    std::ostream& out_;
    std::string lines_;
};

}  // namespace myrtleroute::run
