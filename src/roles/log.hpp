// Logging of the roles, through easylogging++ to standard output.
#pragma once
#include <sstream>
#include <string>

namespace myrtleroute {

// Sets the minimum level that is written: debug, info, warning or error.
void start_log(int argc, const char* const* argv, const std::string& level);

// A log line, written when the object is destroyed.
class LogLine {
public:
    enum class Level { debug, info, warning, error };
    explicit LogLine(Level level) : level_(level) {}
    LogLine(const LogLine&) = delete;
    ~LogLine();
    template <class Value>
    LogLine& operator<<(const Value& value) {
        text_ << value;
        return *this;
    }

private:
    Level level_;
    std::ostringstream text_;
};

inline LogLine log_debug() { return LogLine(LogLine::Level::debug); }
inline LogLine log_info() { return LogLine(LogLine::Level::info); }
inline LogLine log_warning() { return LogLine(LogLine::Level::warning); }
inline LogLine log_error() { return LogLine(LogLine::Level::error); }

}   // namespace myrtleroute
