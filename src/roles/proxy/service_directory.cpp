#include "roles/proxy/service_directory.hpp"

#include <set>

namespace myrtleroute::proxy {
namespace {

constexpr Span retire_every{1};

}   // namespace

ServicePool* ServiceDirectory::of(const std::string& service) {
    const auto known = pools_.size();
    auto* pool = pools_.of(service);
    if (!pool || pools_.size() == known) return pool;
    follow_configuration(*pool);
    for (const auto& host : table_.all())
        if (host.service == service) tell(*pool, host);
    return pool;
}

void ServiceDirectory::follow_configuration(ServicePool& pool) {
    if (!context_.table) return;
    for (const auto& service : context_.table->configuration().services) {
        if (service.name != pool.name()) continue;
        pool.health_check = service.health_check;
        pool.is_engine = service.is_engine;
    }
}

void ServiceDirectory::configured() {
    for (const auto& service : context_.table->configuration().services)
        if (auto* pool = of(service.name)) {
            pool->health_check = service.health_check;
            pool->is_engine = service.is_engine;
        }
    for (const auto& host : table_.all()) tell(host);
}

void ServiceDirectory::hosts_told(const messages::HostsTold& told) {
    hosts_known_ = true;
    for (const auto& host : told.hosts)
        if (table_.merge(host, context_.now())) tell(*table_.find(host.id));
    for (const auto& retired : table_.expire(context_.now())) tell(retired);
}

void ServiceDirectory::tell(const registry::Host& host) {
    if (auto* pool = of(host.service)) return tell(*pool, host);
    auto& record = hosts_.record(host);
    record.service = ServicePools::none;
    if (host.state == registry::HostState::gone) hosts_.close_idle(record);
}

void ServiceDirectory::tell(ServicePool& pool, const registry::Host& host) {
    auto& record = hosts_.record(host);
    record.service = pool.number();
    const auto health_check = pool.health_check.empty() ? "/" : pool.health_check;
    record.probe_path = pool.is_engine ? "/report" : health_check;
    pool.told(host, record.id);
    if (host.state == registry::HostState::gone) hosts_.close_idle(record);
}

void ServiceDirectory::placed(const messages::FleetTold& fleet) {
    pools_.placed(static_cast<int>(fleet.place), static_cast<int>(fleet.proxies));
}

// A service is in use while the configuration names it, a host belongs to it or a request is under way there.
void ServiceDirectory::tick(const RequestTable& requests) {
    if (context_.now() - retired_at_ < retire_every) return;
    retired_at_ = context_.now();
    std::set<std::string> used;
    if (context_.table)
        for (const auto& service : context_.table->configuration().services) used.insert(service.name);
    for (const auto& host : table_.all())
        if (host.state != registry::HostState::gone) used.insert(host.service);
    for (const auto* request : requests.all())
        if (auto* pool = request->admitted ? pools_.find(request->service) : nullptr) used.insert(pool->name());
    pools_.retire_unused(used, context_.now());
}

}   // namespace myrtleroute::proxy
