// Findings: errors in an input, each with its location, collected so that all of them can be reported at once.
#pragma once
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace myrtleroute {

// One error: its location (file and line, byte offset, or JSON pointer) and what is wrong there.
struct Finding {
    std::string location;
    std::string message;
    bool operator==(const Finding&) const = default;
};

using Findings = std::vector<Finding>;

// The parsed value, or every error found in the input.
template <class Value>
using ParseResult = std::variant<Value, Findings>;

// Joins all findings into one line: `location: message; location: message`.
inline std::string join_findings(const Findings& findings) {
    std::string line;
    for (const auto& finding : findings) {
        if (!line.empty()) line += "; ";
        line += finding.location + ": " + finding.message;
    }
    return line;
}

}   // namespace myrtleroute
