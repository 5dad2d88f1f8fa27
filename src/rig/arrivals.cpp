#include "rig/arrivals.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace myrtleroute::rig {

std::vector<double> rates(const Experiment& e) {
    std::vector<double> all(static_cast<size_t>(e.proxies), 1);
    lab::RandomStream chance(e.seed, 0x52415445);
    if (e.distribution == "pareto")
        for (auto& r : all) r = std::pow(1 - chance.uniform(), -1 / e.alpha);
    if (e.distribution == "zipf") {
        for (size_t i = 0; i < all.size(); ++i) all[i] = std::pow(static_cast<double>(i + 1), -e.alpha);
        for (size_t i = all.size(); i > 1; --i) std::swap(all[i - 1], all[static_cast<size_t>(chance.below(static_cast<int>(i)))]);
    }
    if (e.distribution == "one") {
        const auto n = static_cast<double>(all.size());
        std::fill(all.begin(), all.end(), n > 1 ? (1 - e.share) / (n - 1) : 1);
        all[static_cast<size_t>(chance.below(e.proxies))] = n > 1 ? e.share : 1;
    }
    const double sum = std::accumulate(all.begin(), all.end(), 0.0);
    for (auto& r : all) r *= e.rate * e.proxies / sum;
    return all;
}

Arrivals::Arrivals(const Experiment& e, const std::vector<double>& rates, int proxy)
    : e_(e), rates_(rates), proxy_(proxy), chance_(e.seed, 0x41525256u + static_cast<uint64_t>(proxy) * 0x10001) {
    for (const auto& b : e.bursts)
        if (std::find(b.who.members.begin(), b.who.members.end(), proxy) != b.who.members.end()) bursts_.push_back(&b);
    for (const auto& p : e.products) shares_ += p.share;
    advance();
}

double Arrivals::rate(Time at) const {
    auto index = static_cast<size_t>(proxy_);
    if (e_.shift_period > Span{})
        index += static_cast<size_t>(at.s / e_.shift_period.s) * std::max<size_t>(1, rates_.size() / 10);
    double r = rates_[index % rates_.size()];
    for (const auto* b : bursts_)
        if (at.s >= b->at.s && at.s < b->at.s + b->duration.s) r *= b->factor;
    return r;
}

Time Arrivals::constant_until(Time at) const {
    double until = e_.duration.s + 1;
    if (e_.shift_period > Span{})
        until = std::min(until, (std::floor(at.s / e_.shift_period.s) + 1) * e_.shift_period.s);
    for (const auto* b : bursts_)
        for (const double edge : {b->at.s, b->at.s + b->duration.s})
            if (edge > at.s) until = std::min(until, edge);
    return {std::max(until, at.s + 1e-6)};
}

void Arrivals::advance() {
    double remaining = chance_.exponential(1);   // expected number of calls until the next arrival
    Time at = next_.at;
    while (at.s <= e_.duration.s) {
        const double r = rate(at);
        const Time until = constant_until(at);
        if (remaining <= r * (until - at).s) {
            at = at + Span{remaining / r};
            break;
        }
        remaining -= r * (until - at).s;
        at = until;
    }
    next_.at = at;
    ++next_.number;
    double draw = chance_.uniform() * shares_;
    next_.product = 0;
    while (next_.product + 1 < e_.products.size() && draw >= e_.products[next_.product].share)
        draw -= e_.products[next_.product++].share;
}

}  // namespace myrtleroute::rig
