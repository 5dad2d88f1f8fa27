// Lists of party numbers as text in control commands: 0-99,103.
#pragma once
#include <sstream>
#include <string>
#include <vector>

namespace myrtleroute::rig {

inline std::string write_list(const std::vector<int>& sorted) {
    std::ostringstream out;
    for (size_t i = 0; i < sorted.size();) {
        size_t j = i;
        while (j + 1 < sorted.size() && sorted[j + 1] == sorted[j] + 1) ++j;
        out << (i ? "," : "") << sorted[i];
        if (j > i) out << '-' << sorted[j];
        i = j + 1;
    }
    return out.str();
}

inline std::vector<bool> read_list(const std::string& words, size_t size) {
    std::vector<bool> in(size);
    std::istringstream parts(words);
    for (std::string part; std::getline(parts, part, ',');) {
        const auto dash = part.find('-');
        const size_t from = std::stoul(part), to = dash == part.npos ? from : std::stoul(part.substr(dash + 1));
        for (size_t i = from; i <= to && i < size; ++i) in[i] = true;
    }
    return in;
}

}  // namespace myrtleroute::rig
