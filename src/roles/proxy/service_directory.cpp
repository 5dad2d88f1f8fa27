#include "roles/proxy/service_directory.hpp"

#include <algorithm>
#include <tuple>

#include "base/fnv.hpp"
#include "roles/log.hpp"

namespace myrtleroute::proxy {
namespace {

using registry::HostState;
using rollout::Group;
using rollout::Rollout;
using rollout::Stage;

constexpr Span retire_interval{1};
constexpr Span never{1e18};
// Delay from the first known candidate until some are chosen: by then most candidates are known, and all proxies
// choose the same ones.
constexpr Span gather_time{1};
constexpr Span turn_length{3};
constexpr double min_candidate_ratio = 0.5;   // candidates per serving host needed before all requests move to them

bool is_loaded(size_t turn) { return turn % 2 == 1; }

}   // namespace

// Only control nodes receive heartbeats, and they report lost hosts. Silence of a host means nothing here, so this
// table never expires hosts as lost.
registry::HostTableOptions ServiceDirectory::table_options() {
    registry::HostTableOptions options;
    options.lost_after = never;
    return options;
}

ServicePool* ServiceDirectory::choose(const std::string& service) {
    auto* serving = serving_pool(service);
    const auto* rollout = watcher_.rollout(service);
    if (!serving || !rollout || !rollout->in_progress()) return serving;
    auto* candidates = pools_.find(PoolKey{service, rollout->target_version});
    if (!candidates || candidates->ready_hosts() == 0) return serving;
    const auto room = static_cast<double>(candidates->ready_hosts());
    const bool is_crowded = room < min_candidate_ratio * static_cast<double>(serving->ready_hosts());
    if (rollout->stage == Stage::moving && is_crowded) return serving;
    return watcher_.choose_candidate(service, context_.now()) ? candidates : serving;
}

ServicePool* ServiceDirectory::serving_pool(const std::string& service) {
    const auto known = pools_.size();
    auto* pool = pools_.get_or_create({service, {}});
    if (!pool || pools_.size() == known) return pool;
    apply_configuration(*pool);
    update_hosts_of(service);
    return pool;
}

void ServiceDirectory::apply_configuration(ServicePool& pool) {
    if (!context_.table) return;
    for (const auto& service : context_.table->configuration().services) {
        if (service.name != pool.name()) continue;
        pool.health_check = service.health_check;
        pool.is_engine = service.is_engine;
    }
}

void ServiceDirectory::configured() {
    for (const auto& service : context_.table->configuration().services) {
        if (auto* pool = serving_pool(service.name)) apply_configuration(*pool);
        const auto* rollout = watcher_.rollout(service.name);
        if (auto* pool = rollout ? pools_.find(PoolKey{service.name, rollout->target_version}) : nullptr)
            apply_configuration(*pool);
    }
    for (const auto& host : table_.all()) update_host(host);
    update_candidates();
}

void ServiceDirectory::update_hosts(const messages::HostsUpdate& update) {
    hosts_known_ = true;
    for (const auto& host : update.hosts)
        if (table_.merge(host, context_.now())) update_host(*table_.find(host.id));
    for (const auto& retired : table_.expire(context_.now())) update_host(retired);
    update_candidates();
}

void ServiceDirectory::update_rollouts(const messages::RolloutsUpdate& update) {
    const auto before = watcher_.rollouts();
    if (!watcher_.update(update.rollouts, context_.now())) return;
    for (const auto& rollout : watcher_.rollouts().all) {
        const auto* known = before.find(rollout.service);
        if (known && *known == rollout) continue;
        if (!rollout.in_progress()) candidates_.erase(rollout.service);
        if (rollout.stage == Stage::completed) complete_rollout(rollout);
        update_hosts_of(rollout.service);
    }
    update_candidates();
}

// The replaced hosts get no more requests from now on. A host that later starts with the old version is not in this
// list.
void ServiceDirectory::complete_rollout(const Rollout& rollout) {
    pools_.promote({rollout.service, rollout.target_version});
    for (const auto& host : table_.all())
        if (host.service == rollout.service && host.version != rollout.target_version) replaced_.insert(host.id);
}

void ServiceDirectory::update_hosts_of(const std::string& service) {
    for (const auto& host : table_.all())
        if (host.service == service) update_host(host);
}

void ServiceDirectory::update_host(const registry::Host& host) {
    const auto* rollout = watcher_.rollout(host.service);
    const auto group = replaced_.count(host.id) ? Group::excluded : rollout::group_of(rollout, host.version);
    if (group == Group::candidate) {
        auto* pool = pools_.find(hosts_.record(host).service);
        // It was known as a serving host before the rollout started.
        if (pool && !pool->is_candidate()) exclude(host);
        const auto known = candidates_.find(host.service);
        const bool takes_part = known != candidates_.end() && known->second.chosen.count(host.id) > 0;
        if (pool && pool->is_candidate() && takes_part) update_host(*pool, host);
        return;
    }
    auto* pool = group == Group::serving ? serving_pool(host.service) : nullptr;
    if (pool) return update_host(*pool, host);
    exclude(host);
}

void ServiceDirectory::exclude(const registry::Host& host) {
    auto& record = hosts_.record(host);
    if (auto* pool = pools_.find(record.service)) pool->exclude_host(host, record.id);
    record.service = ServicePools::none;
    if (host.state == HostState::gone) hosts_.close_idle(record);
}

void ServiceDirectory::update_host(ServicePool& pool, const registry::Host& host) {
    auto& record = hosts_.record(host);
    if (auto* before = pools_.find(record.service); before && before != &pool) before->exclude_host(host, record.id);
    record.service = pool.number();
    const auto health_check = pool.health_check.empty() ? "/" : pool.health_check;
    record.probe_path = pool.is_engine ? "/report" : health_check;
    pool.update_host(host, record.id);
    if (host.state == HostState::gone) hosts_.close_idle(record);
}

// The ready candidates, in an order that is the same at every proxy and alternates between zones.
std::vector<const registry::Host*> ServiceDirectory::candidates_of(const Rollout& rollout) const {
    std::map<std::string, std::vector<std::pair<uint64_t, std::string>>> zones;
    for (const auto& host : table_.all()) {
        const bool is_candidate = host.service == rollout.service && host.version == rollout.target_version;
        if (is_candidate && host.state == HostState::ready) zones[host.zone].emplace_back(fnv1a(host.id), host.id);
    }
    std::vector<std::tuple<size_t, uint64_t, std::string>> ranked;
    for (auto& [zone, hosts] : zones) {
        std::sort(hosts.begin(), hosts.end());
        for (size_t rank = 0; rank < hosts.size(); ++rank)
            ranked.emplace_back(rank, hosts[rank].first, hosts[rank].second);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<const registry::Host*> candidates;
    candidates.reserve(ranked.size());
    for (const auto& [rank, hash, id] : ranked) candidates.push_back(table_.find(id));
    return candidates;
}

// Called after every update and on ticks: the choice depends on all hosts of the service and on the time.
void ServiceDirectory::update_candidates() {
    for (const auto& rollout : watcher_.rollouts().all)
        if (rollout.in_progress()) update_candidates(rollout);
}

void ServiceDirectory::update_candidates(const Rollout& rollout) {
    const auto now = context_.now();
    const auto ready = candidates_of(rollout);
    auto& known = candidates_[rollout.service];
    if (known.rollout != rollout.number) known = {rollout.number, {}, {}};
    if (!known.first_known && !ready.empty()) known.first_known = now;
    const bool is_gathering =
        !known.first_known || (rollout.stage == Stage::observing && now - *known.first_known < gather_time);
    auto* serving = serving_pool(rollout.service);
    if (!serving || is_gathering) return;
    auto chosen = choose_candidates(rollout, ready, known.turn(now), serving->ready_hosts());
    if (chosen == known.chosen) return;
    const PoolKey key{rollout.service, rollout.target_version};
    const bool fresh = pools_.find(key) == nullptr;
    auto* pool = pools_.get_or_create(key);
    if (!pool) return;
    if (fresh) apply_configuration(*pool);
    for (const auto& id : known.chosen) {
        const auto* host = chosen.count(id) ? nullptr : table_.find(id);
        if (host && host->state == HostState::ready) pool->exclude_host(*host, hosts_.record(*host).id);
    }
    for (const auto& id : chosen)
        if (!known.chosen.count(id)) update_host(*pool, *table_.find(id));
    log_info() << "rollout of " << rollout.service << " to " << rollout.target_version << ": " << chosen.size()
               << " candidates take part, " << serving->ready_hosts() << " hosts serve";
    known.chosen = std::move(chosen);
}

// While candidates are observed only a few take part at a time, in turns, so that many have been observed in the
// end.
std::set<std::string> ServiceDirectory::choose_candidates(const Rollout& rollout,
                                                          const std::vector<const registry::Host*>& ready, size_t turn,
                                                          size_t serving) const {
    const auto wanted = std::min(watcher_.candidate_count(rollout, serving, is_loaded(turn)), ready.size());
    std::set<std::string> chosen;
    // Each turn starts a fixed step after the previous one: the number of candidates of an unloaded turn.
    const auto step = watcher_.candidate_count(rollout, serving, false);
    for (size_t i = 0; i < wanted; ++i) chosen.insert(ready[(turn * step + i) % ready.size()]->id);
    return chosen;
}

size_t ServiceDirectory::Candidates::turn(Time now) const {
    return first_known ? static_cast<size_t>(std::max(0.0, (now - *first_known) / turn_length)) : 0;
}

bool ServiceDirectory::were_loaded(const std::string& service, Time sent) const {
    const auto* rollout = watcher_.rollout(service);
    const auto known = candidates_.find(service);
    return rollout && rollout->stage == Stage::observing && known != candidates_.end() &&
           is_loaded(known->second.turn(sent));
}

void ServiceDirectory::set_place(const messages::FleetStatus& fleet) {
    pools_.set_place(static_cast<int>(fleet.proxy_index), static_cast<int>(fleet.proxy_count));
}

// A pool is in use while the configuration names its service, a host belongs to it, or a request in progress uses
// it.
void ServiceDirectory::tick(const RequestTable& requests) {
    update_candidates();
    if (context_.now() - retired_at_ < retire_interval) return;
    retired_at_ = context_.now();
    std::erase_if(replaced_, [this](const auto& id) { return table_.find(id) == nullptr; });
    std::set<size_t> used;
    const auto use = [&](const PoolKey& key) {
        if (auto* pool = pools_.find(key)) used.insert(pool->number());
    };
    if (context_.table)
        for (const auto& service : context_.table->configuration().services) use({service.name, {}});
    for (const auto& host : table_.all())
        if (host.state != HostState::gone) use({host.service, {}});
    for (const auto& rollout : watcher_.rollouts().all)
        if (rollout.in_progress()) use({rollout.service, rollout.target_version});
    for (const auto* request : requests.all())
        if (request->admitted) used.insert(request->service);
    pools_.retire_unused(used, context_.now());
}

}   // namespace myrtleroute::proxy
