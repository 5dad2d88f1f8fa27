// The servers that discovery has named, each with its address and the connections that stand idle to it.
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
    uint64_t listed_in = 0;          // the last list that named it
    Time last_response = long_ago;           // its last whole answer
    Time left_at = long_ago;            // when a list first called it gone
    std::list<ServerConnection*> idle;           // the latest used first
    int connections = 0;                   // connections to it, idle or not
    bool gone = false;               // by the list
};

class Servers {
public:
    // The decisions' id of a uid: the same at every balancer, since each finds its part of the list by it.
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
    // Those that are gone, that no connection leads to and that have neither been listed nor answered since
    // `kept`; new machines come under new uids all day.
    void erase_gone(Time kept) {
        for (auto it = by_uid_.begin(); it != by_uid_.end();) {
            const auto here = it++;
            const auto& server = *here->second;
            if (!server.gone || server.connections || std::max(server.last_response, server.left_at) > kept) continue;
            by_id_.erase(here->second->id);
            by_uid_.erase(here);
        }
    }
    size_t size() const { return by_uid_.size(); }
    template <class Each>
    void each(Each&& what) {
        for (auto& [uid, server] : by_uid_) what(*server);
    }

private:
    std::map<std::string, std::unique_ptr<Server>, std::less<>> by_uid_;
    std::map<ServerId, Server*> by_id_;
};

}  // namespace myrtleroute::memory
