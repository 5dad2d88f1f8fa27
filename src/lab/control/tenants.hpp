// Tenants of the virtual world: the limits that the operators' documents name, and what their clients send to which
// proxy.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "configuration/configuration.hpp"
#include "lab/random_stream.hpp"
#include "lab/control/plan.hpp"
#include "lab/queue.hpp"
#include "leases/limit.hpp"

namespace myrtleroute::lab::control {

constexpr leases::LimitRule limit_rule{140000, 0.1, Span{8}};   // slack in tokens, over, window
std::string tenant_name(size_t number);

// The `tenants` member of a document. Limits stay for a few versions; then, where they change at all, each tenant's is
// drawn anew, up to four times as high or as low as its usual one. Where keys are taken away, now and then one has none.
struct TenantChanges {
    bool limits = true, keys = false;
};
std::string tenants_text(uint64_t seed, uint64_t version, TenantChanges changes);

using Tenants = std::map<std::string, configuration::Tenant>;   // by name

// Tenants of documents, each document parsed once.
class TenantDocuments {
public:
    std::shared_ptr<const Tenants> read(const std::string& body);

private:
    std::map<std::string, std::shared_ptr<const Tenants>> known_;
};

struct TenantRequest {
    std::string tenant;
    Time sent;         // by the client
    double cost = 0;   // tokens
    Span to_proxy;     // latency from the client to the proxy
    Span to_host;      // from the proxy's grant to the arrival at the host that runs it
};

// What the tenants' clients send: each tenant its usual demand, spread unevenly over the proxies, and surges.
class TenantTraffic {
public:
    using Send = std::function<void(size_t proxy, const TenantRequest&)>;
    TenantTraffic(Queue& queue, uint64_t seed, std::vector<Surge> surges, size_t proxies, Send send);
    void begin();

private:
    struct Client {
        RandomStream chance;
        std::vector<double> preference;   // cumulative shares of the proxies
    };
    void wait(size_t tenant);
    void send(size_t tenant);
    double requests_per_second(size_t tenant) const;

    Queue& queue_;
    Time began_;
    std::vector<Surge> surges_;
    std::vector<Client> clients_;   // by tenant
    Send send_;
};

}   // namespace myrtleroute::lab::control
