// Log lines on standard error, with a level filter.
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

inline std::optional<Level> read_level(std::string_view text) {
    for (int i = 0; i < 4; ++i)
        if (text == level_names[i]) return static_cast<Level>(i);
    return {};
}

class Log {
public:
    Log(Level least, System& system, std::ostream& out = std::cerr) : least_(least), system_(system), out_(out) {}

    ~Log() { flush(); }
    // Writes the lines collected since: once a round, so that a crowd of them costs little.
    void flush() {
        if (!lines_.empty()) out_ << lines_ << std::flush;
        lines_.clear();
    }

    // Collects a line and passes it on whole when it goes out of scope.
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
        Line& operator<<(const T& what) {
            if (lines_) text_ << what;
            return *this;
        }

    private:
        std::string* lines_;
        std::ostringstream text_;
    };

    void let(Level least) { least_ = least; }   // from now on
    bool writes(Level level) const { return level >= least_; }
    Line at(Level level) { return {writes(level) ? &lines_ : nullptr, level, system_}; }
    Line debug() { return at(Level::debug); }
    Line info() { return at(Level::info); }
    Line warning() { return at(Level::warning); }
    Line error() { return at(Level::error); }

private:
    Level least_;
    System& system_;
    std::ostream& out_;
    std::string lines_;
};

}  // namespace myrtleroute::run
