// The services as this proxy serves them: for each the pool, told of the hosts and of what the configuration says of them,
// as the control role tells it.
#pragma once
#include <string>

#include "messages/messages.hpp"
#include "registry/host_table.hpp"
#include "roles/proxy/context.hpp"
#include "roles/proxy/hosts.hpp"
#include "roles/proxy/request_table.hpp"
#include "roles/proxy/service_pools.hpp"

namespace myrtleroute::proxy {

class ServiceDirectory {
public:
    // `events`: of each pool.
    ServiceDirectory(Context& context, Hosts& hosts, ServicePool::Events events)
        : context_(context), hosts_(hosts), pools_(context, std::move(events)) {}

    // The pool of a service, made where there is none; it knows its hosts from the start. Null: there is no room for it.
    ServicePool* of(const std::string& service);
    // By the pool's number. Null: it has gone.
    ServicePool* find(size_t number) { return pools_.find(number); }

    void configured();   // there is another route table
    void hosts_told(const messages::HostsTold& told);
    void placed(const messages::FleetTold& fleet);
    // Retires pools of services that nothing uses; called several times a second.
    void tick(const RequestTable& requests);

    bool knows_hosts() const { return hosts_known_; }
    uint64_t evicted_hosts() const { return table_.evicted(); }

private:
    void tell(ServicePool& pool, const registry::Host& host);
    void tell(const registry::Host& host);
    void follow_configuration(ServicePool& pool);

    Context& context_;
    Hosts& hosts_;
    ServicePools pools_;
    registry::HostTable table_{{}};
    Time retired_at_ = long_ago;
    bool hosts_known_ = false;
};

}   // namespace myrtleroute::proxy
