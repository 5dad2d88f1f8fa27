// The median, or `otherwise` if there are no values; reorders them. Of an even number, the upper of the middle two.
#pragma once
#include <algorithm>
#include <vector>

namespace myrtleroute {

inline double median(std::vector<double>& v, double otherwise) {
    if (v.empty()) return otherwise;
    std::nth_element(v.begin(), v.begin() + v.size() / 2, v.end());
    return v[v.size() / 2];
}

}  // namespace myrtleroute
