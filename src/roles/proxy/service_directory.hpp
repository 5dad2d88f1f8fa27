// The services that this proxy routes to. Keeps a pool for each service, updated with the hosts and the
// configuration received from the control role, and during a rollout a second pool with its candidates.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "messages/messages.hpp"
#include "registry/host_table.hpp"
#include "rollout/watcher.hpp"
#include "roles/proxy/context.hpp"
#include "roles/proxy/hosts.hpp"
#include "roles/proxy/request_table.hpp"
#include "roles/proxy/service_pools.hpp"

namespace myrtleroute::proxy {

class ServiceDirectory {
public:
    // `events`: callbacks of every pool.
    ServiceDirectory(Context& context, HostConnections& hosts, rollout::Watcher& watcher, ServicePool::Events events)
        : context_(context),
          hosts_(hosts),
          watcher_(watcher),
          pools_(context, std::move(events)),
          table_(table_options()) {}

    // The pool for the next request of a service; null if there are too many pools.
    ServicePool* choose(const std::string& service);
    // Whether candidates that received a request at that time carried more load than serving hosts.
    bool were_loaded(const std::string& service, Time sent) const;
    // Finds a pool by number; null if it has been removed.
    ServicePool* find(size_t number) { return pools_.find(number); }

    void configured();   // a new route table is in use
    void update_hosts(const messages::HostsUpdate& update);
    void update_rollouts(const messages::RolloutsUpdate& update);
    void set_place(const messages::FleetStatus& fleet);
    // Removes pools of services that are no longer used; called several times a second.
    void tick(const RequestTable& requests);

    bool knows_hosts() const { return hosts_known_; }
    uint64_t evicted_hosts() const { return table_.evicted(); }

private:
    // The candidates of a rollout, and when the first one was known.
    struct Candidates {
        uint64_t rollout = 0;
        std::optional<Time> first_known;
        size_t turn(Time now) const;    // number of the current turn; every other turn is loaded
        std::set<std::string> chosen;   // ids of the hosts in the current turn
    };
    static registry::HostTableOptions table_options();
    // The pool of a service's serving hosts, created with its known hosts if there is none.
    ServicePool* serving_pool(const std::string& service);
    void update_host(const registry::Host& host);
    void update_host(ServicePool& pool, const registry::Host& host);
    void exclude(const registry::Host& host);
    void update_candidates();   // chooses the candidates of all rollouts in progress
    void update_candidates(const rollout::Rollout& rollout);
    std::set<std::string> choose_candidates(const rollout::Rollout& rollout,
                                            const std::vector<const registry::Host*>& ready, size_t turn,
                                            size_t serving) const;
    std::vector<const registry::Host*> candidates_of(const rollout::Rollout& rollout) const;
    void update_hosts_of(const std::string& service);
    void complete_rollout(const rollout::Rollout& rollout);
    void apply_configuration(ServicePool& pool);

    Context& context_;
    HostConnections& hosts_;
    rollout::Watcher& watcher_;
    ServicePools pools_;
    registry::HostTable table_;
    std::map<std::string, Candidates> candidates_;   // by service, for rollouts in progress
    // Hosts replaced by a completed rollout, kept until they leave the host table.
    std::set<std::string> replaced_;   // hosts re
    Time retired_at_ = long_ago;
    bool hosts_known_ = false;
};

}   // namespace myrtleroute::proxy
