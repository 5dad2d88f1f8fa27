#include "soak/platform.hpp"

#include <algorithm>

#include "soak/http_call.hpp"
#include "soak/timing.hpp"

namespace myrtleroute::soak {
namespace {

constexpr int misses_until_out = 2;
constexpr Span ready_patience{0.9};
constexpr double ask_every = 1, least_weight = 0.3, most_weight = 2;

}   // namespace

Platform::Platform(asio::io_context& context, std::vector<ProxyAddresses> proxies, uint64_t seed)
    : context_(context), chance_(seed, 0x706c6174), timer_(context) {
    for (auto& proxy : proxies)
        proxies_.push_back({std::move(proxy), chance_.between(least_weight, most_weight), misses_until_out});
}

void Platform::start() { ask_ready(); }

void Platform::ask_ready() {
    for (auto& proxy : proxies_) {
        const auto text = request_text("GET", "/ready", proxy.at.ready.text(), {{"Connection", "close"}}, "");
        start_call(context_, {proxy.at.ready, text, ready_patience, {}, [&proxy](const HttpReply& reply) {
                                  proxy.misses = reply.status == 200 ? 0 : proxy.misses + 1;
                              }});
    }
    after(timer_, ask_every, [this] { ask_ready(); });
}

size_t Platform::pick_proxy() {
    const auto is_in = [](const Proxy& proxy) {
        return proxy.misses < misses_until_out;
    };
    const bool some = std::any_of(proxies_.begin(), proxies_.end(), is_in);
    double sum = 0;
    for (const auto& proxy : proxies_)
        if (!some || is_in(proxy)) sum += proxy.weight;
    double left = chance_.uniform() * sum;
    size_t last = 0;
    for (size_t i = 0; i < proxies_.size() && left >= 0; ++i) {
        if (some && !is_in(proxies_[i])) continue;
        last = i;
        left -= proxies_[i].weight;
    }
    return last;
}

}   // namespace myrtleroute::soak
