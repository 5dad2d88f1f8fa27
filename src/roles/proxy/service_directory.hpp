// The services as this proxy serves them: for each the pool, told of the hosts and of what the configuration says of them,
// as the control role tells it; while a rollout is in progress also a pool of its candidates.
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
    // `events`: of each pool.
    ServiceDirectory(Context& context, Hosts& hosts, rollout::Watcher& watcher, ServicePool::Events events)
        : context_(context),
          hosts_(hosts),
          watcher_(watcher),
          pools_(context, std::move(events)),
          table_(table_options()) {}

    // The pool that the next request of a service goes to. Null: there is no room for it.
    ServicePool* choose(const std::string& service);
    // Whether candidates that were sent a request then had more load than hosts that serve.
    bool were_loaded(const std::string& service, Time sent) const;
    // By the pool's number. Null: it has gone.
    ServicePool* find(size_t number) { return pools_.find(number); }

    void configured();   // there is another route table
    void hosts_told(const messages::HostsUpdate& told);
    void rollouts_told(const messages::RolloutsUpdate& told);
    void placed(const messages::FleetStatus& fleet);
    // Retires pools of services that nothing uses; called several times a second.
    void tick(const RequestTable& requests);

    bool knows_hosts() const { return hosts_known_; }
    uint64_t evicted_hosts() const { return table_.evicted(); }

private:
    // Candidates of a rollout that requests go to, and since when there are any.
    struct Candidates {
        uint64_t rollout = 0;
        std::optional<Time> first_known;
        size_t turn(Time now) const;    // they take part in turns, every other one of them loaded
        std::set<std::string> chosen;   // ids of those that take part now
    };
    static registry::HostTableOptions table_options();
    // The pool of a service's hosts that serve, made where there is none; it knows its hosts from the start.
    ServicePool* of(const std::string& service);
    void tell(const registry::Host& host);
    void tell(ServicePool& pool, const registry::Host& host);
    void exclude(const registry::Host& host);
    void update_candidates();   // of rollouts in progress
    void update_candidates(const rollout::Rollout& rollout);
    std::set<std::string> choose_candidates(const rollout::Rollout& rollout,
                                            const std::vector<const registry::Host*>& ready, size_t turn,
                                            size_t serving) const;
    std::vector<const registry::Host*> candidates_of(const rollout::Rollout& rollout) const;
    void tell_service(const std::string& service);
    void complete(const rollout::Rollout& rollout);
    void follow_configuration(ServicePool& pool);

    Context& context_;
    Hosts& hosts_;
    rollout::Watcher& watcher_;
    ServicePools pools_;
    registry::HostTable table_;
    std::map<std::string, Candidates> candidates_;   // by service, of rollouts in progress
    std::set<std::string> replaced_;                 // hosts that a completed rollout ends, while the table knows them
    Time retired_at_ = long_ago;
    bool hosts_known_ = false;
};

}   // namespace myrtleroute::proxy
