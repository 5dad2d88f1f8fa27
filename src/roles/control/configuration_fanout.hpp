// Schedules sending the newest configuration to subscribers.
//
// A configuration is sent in full, over a network link that the control node shares with the proxy on its machine.
// Copies are sent one at a time, to the subscriber that has been out of date the longest, at a rate that leaves most of
// the link to other traffic. With many subscribers the rate rises, up to a bound. While changes arrive faster than
// that, subscribers skip versions: a version that is superseded before it is sent to a subscriber is not sent to it.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "messages/messages.hpp"
#include "roles/control/outputs.hpp"
#include "time.hpp"

namespace myrtleroute::control {

class ConfigurationFanout {
public:
    // `link_megabits`: capacity of the machine's link in Mbit/s; 0 means unknown, and copies are not rate-limited.
    explicit ConfigurationFanout(double link_megabits) : link_megabits_(link_megabits) {}

    // Sets the newest committed configuration. False if it is known already or older.
    bool committed(uint64_t version, const PackedText& body, Time now);
    uint64_t version() const { return version_; }
    const PackedText& body() const { return body_; }
    messages::ConfigurationUpdate message() const { return {version_, body_}; }

    // `version`: the one that the subscriber holds already. A known subscriber is replaced.
    void add_subscriber(ConnectionId connection, uint64_t version) { subscribers_[connection] = {version, long_ago}; }
    void remove_subscriber(ConnectionId connection) { subscribers_.erase(connection); }

    // Subscribers to send the newest configuration to now; they count as up to date afterwards. Call it at least ten
    // times a second.
    std::vector<ConnectionId> take_due(Time now);

private:
    struct Subscriber {
        uint64_t version = 0;   // sent last, or held when the subscription started
        Time out_of_date_since =
            long_ago;   // since a newer version exists; long_ago for a subscriber that was out of date from the start
    };
    std::vector<ConnectionId> out_of_date() const;   // longest out of date first
    Span interval(size_t waiting) const;             // between two copies while that many subscribers wait

    double link_megabits_;
    uint64_t version_ = 0;
    PackedText body_;
    std::map<ConnectionId, Subscriber> subscribers_;   // by connection
    Time next_copy_at_ = long_ago;                     // earliest time of the next copy
    bool was_idle_ = true;                             // no subscriber was left waiting at the last call
};

}   // namespace myrtleroute::control
