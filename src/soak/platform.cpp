#include "soak/platform.hpp"

#include <algorithm>

#include "soak/http_call.hpp"
#include "soak/timing.hpp"

namespace myrtleroute::soak {
namespace {

constexpr int failed_checks_until_removed = 2;
constexpr Span ready_timeout{0.9};
constexpr double check_interval = 1, min_weight = 0.3, max_weight = 2;

}   // namespace

Platform::Platform(asio::io_context& context, std::vector<ProxyAddresses> proxies, uint64_t seed)
    : context_(context), chance_(seed, 0x706c6174), timer_(context) {
    for (auto& proxy : proxies)
        proxies_.push_back({std::move(proxy), chance_.between(min_weight, max_weight), failed_checks_until_removed});
}

void Platform::start() { check_readiness(); }

void Platform::check_readiness() {
    for (auto& proxy : proxies_) {
        const auto text = request_text("GET", "/ready", proxy.addresses.ready.text(), {{"Connection", "close"}}, "");
        start_call(context_, {proxy.addresses.ready, text, ready_timeout, {}, [&proxy](const HttpReply& reply) {
                                  proxy.failed_checks = reply.status == 200 ? 0 : proxy.failed_checks + 1;
                              }});
    }
    after(timer_, check_interval, [this] { check_readiness(); });
}

size_t Platform::pick_proxy() {
    const auto in_rotation = [](const Proxy& proxy) {
        return proxy.failed_checks < failed_checks_until_removed;
    };
    const bool any_in_rotation = std::any_of(proxies_.begin(), proxies_.end(), in_rotation);
    double sum = 0;
    for (const auto& proxy : proxies_)
        if (!any_in_rotation || in_rotation(proxy)) sum += proxy.weight;
    double remaining = chance_.uniform() * sum;
    size_t last = 0;
    for (size_t i = 0; i < proxies_.size() && remaining >= 0; ++i) {
        if (any_in_rotation && !in_rotation(proxies_[i])) continue;
        last = i;
        remaining -= proxies_[i].weight;
    }
    return last;
}

}   // namespace myrtleroute::soak
