// Tenants of the virtual world: the limits that the operators' documents name, what their clients send to which proxy,
// and a proxy's enforcement of the limits.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "configuration/configuration.hpp"
#include "lab/chance.hpp"
#include "lab/control/plan.hpp"
#include "lab/queue.hpp"
#include "messages/messages.hpp"
#include "routing/quota.hpp"

namespace myrtleroute::lab::control {

constexpr routing::QuotaOptions quota_options{140000, 0.1, Span{8}};   // slack in tokens, over, window
std::string tenant_name(size_t number);

// The `tenants` member of a document. Limits stay for a few versions; then, where they change at all, each tenant's is
// drawn anew, up to four times as high or as low as its usual one.
std::string tenants_text(uint64_t seed, uint64_t version, bool limits_change);

using Tenants = std::map<std::string, configuration::Tenant>;   // by name

// Tenants of documents, each document parsed once.
class TenantDocuments {
public:
    std::shared_ptr<const Tenants> read(const std::string& body);

private:
    std::map<std::string, std::shared_ptr<const Tenants>> known_;
};

// Enforcement of the quotas in one life of a proxy's process, wired as in src/roles/proxy/proxy.cpp. It is the only
// user of routing::Quotas in the virtual world.
class ProxyQuotas {
public:
    bool grants(const configuration::Tenant& tenant, double cost, Time now);
    messages::Demand demand(Time now) { return quotas_.own(now); }
    void fleet_told(const messages::FleetTold& told, Time now) { quotas_.fleet(told.demand, told.proxies, now); }

private:
    routing::Quotas quotas_{quota_options};
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
        Chance chance;
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
