// The servers listed by discovery, each with its address and its idle connections.
#pragma once
#include <netinet/in.h>

#include <algorithm>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "base/fnv.hpp"
#include "logic.hpp"
#include "memory/connection.hpp"

namespace myrtleroute::memory {

struct ServerConnection;

struct Server {
    ServerId id = 0;
    std::string uid, endpoint;
    sockaddr_in at{};
    uint64_t listed_in = 0;          // number of the last list that contained it
    Time last_response = long_ago;   // when its last complete response arrived
    Time left_at = long_ago;         // when a list first reported it gone
    std::list<ServerConnection*> idle;   // most recently used first
    int connections = 0;             // open connections to it, idle or not
    bool gone = false;               // according to the list
};

class Servers {
public:
    // The id is derived from the uid, so that it is the same at every balancer: each picks its part of the list by it.
    Server& find_or_add(std::string_view uid) {
        const auto it = by_uid_.find(uid);
        if (it != by_uid_.end()) return *it->second;
        ServerId id = fnv1a(uid);
        while (id == 0 || by_id_.count(id)) ++id;
        auto server = std::make_unique<Server>();
        server->id = id;
        server->uid = uid;
        auto* at = server.get();
        by_id_[id] = at;
        by_uid_.emplace(std::string(uid), std::move(server));
        return *at;
    }
    Server* find(ServerId id) {
        const auto it = by_id_.find(id);
        return it == by_id_.end() ? nullptr : it->second;
    }
    // Erases servers that are gone, have no connections and have neither been listed nor answered since
    // `since`. Machines are replaced under new uids all the time, so the table would grow without bound.
    void erase_gone(Time since) {
        for (auto it = by_uid_.begin(); it != by_uid_.end();) {
            const auto here = it++;
            const auto& server = *here->second;
            if (!server.gone || server.connections || std::max(server.last_response, server.left_at) > since) continue;
            by_id_.erase(here->second->id);
            by_uid_.erase(here);
        }
    }
    size_t size() const { return by_uid_.size(); }
    template <class Visitor>
    void each(Visitor&& visit) {
        for (auto& [uid, server] : by_uid_) visit(*server);
    }

private:
    std::map<std::string, std::unique_ptr<Server>, std::less<>> by_uid_;
    std::map<ServerId, Server*> by_id_;
};

}  // namespace myrtleroute::memory
