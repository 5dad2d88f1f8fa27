#include "lab/site.hpp"

#include <sstream>

namespace myrtleroute::lab {

std::string endpoint(uint32_t ip) {
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8) text += std::to_string(ip >> shift & 255) + (shift ? "." : ":");
    return text + std::to_string(port);
}

std::string configuration(const Scenario& scenario, int proxy, uint64_t seed, uint32_t discovery, const std::string& known) {
    static constexpr const char* repeats[] = {"read_like", "idempotency_key", "non_idempotent"};
    std::ostringstream out;
    out << "{\"name\":\"p" << proxy << "\",\"listen\":\"" << endpoint(proxy_ip + proxy + 1) << "\",\"discovery\":\""
        << endpoint(discovery) << "\",\"seed\":\"" << std::hex << seed << std::dec
        << "\",\"limits\":{\"cores\":1.0,\"memory_mb\":64,\"sockets\":256},\"known\":" << known
        << ",\"settings\":{\"Balancers\":" << scenario.proxies << ",\"Me\":" << proxy
        << ",\"Locality\":" << proxy % zones << ",\"Zones\":[\"z0\",\"z1\"],\"Discovery\":\"on_request\",\"Products\":[";
    for (const auto& p : products) {
        out << (&p == &products[0] ? "" : ",") << "{\"Name\":\"" << p.name << "\",\"BilledValue\":" << p.value
            << ",\"LatencySloS\":" << p.slo << ",\"ClientTimeoutS\":" << p.timeout << ",\"Idempotency\":\""
            << repeats[static_cast<int>(p.repeat)] << '"';
        if (p.repeat == Idempotency::deduplicated) out << ",\"KeyScope\":\"zone\",\"DedupWindowS\":" << p.window;
        out << '}';
    }
    out << "],\"Limits\":{\"MaxShots\":" << max_attempts << ",\"Cancel\":true,\"Probing\":true,\"RetryAfter\":true,"
        << "\"MaxRetryAfterS\":2,\"ConnectTimeoutS\":0.25,\"IdleCloseS\":10},\"Guarantees\":{\"GraceToAnswerS\":"
        << answer_margin.s << ",\"AskWithinS\":" << ask_within.s << ",\"WarmAfterS\":" << warm_after.s
        << ",\"StartCapacity\":" << start_capacity << ",\"TipMultiple\":" << tip_multiple
        << (scenario.drain_binds_alone ? ",\"DrainBindsAlone\":true" : "")
        << "},\"Prices\":{\"CrossZone\":0.02}}}";
    return out.str();
}

}  // namespace myrtleroute::lab
