// Findings: faults in something that was read, each with its place, collected and reported together.
#pragma once
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace myrtleroute {

// One fault: where it is (a file and line, or a path inside a document) and what is wrong there.
struct Finding {
    std::string location;
    std::string message;
    bool operator==(const Finding&) const = default;
};

using Findings = std::vector<Finding>;

// Either the value that was read, or all that is wrong with its source.
template <class Value>
using ParseResult = std::variant<Value, Findings>;

// All findings as one line: `place: text; place: text`.
inline std::string join_findings(const Findings& findings) {
    std::string line;
    for (const auto& finding : findings) {
        if (!line.empty()) line += "; ";
        line += finding.location + ": " + finding.message;
    }
    return line;
}

}   // namespace myrtleroute
