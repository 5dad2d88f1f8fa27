// Which subscribers are sent the newest configuration when.
//
// A configuration is sent whole, over a link that the control node shares with the proxy on its machine. Copies leave one
// by one, to whoever has been out of date the longest, at a pace that leaves most of the link to others; where there are
// many subscribers the pace rises, up to a bound. While changes come faster than that, subscribers skip versions: what is
// out of date before it leaves is not sent.
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
    // `link_megabits`: of the machine's own link, in Mbit/s; 0: not known, copies are not paced.
    explicit ConfigurationFanout(double link_megabits) : link_megabits_(link_megabits) {}

    // The newest one that is committed. False: it is known already, or older.
    bool committed(uint64_t version, const PackedText& body, Time now);
    uint64_t version() const { return version_; }
    const PackedText& body() const { return body_; }
    messages::ConfigurationUpdate told() const { return {version_, body_}; }

    // A subscription that holds this version begins, or has ended.
    void subscribed(ConnectionId link, uint64_t version) { held_[link] = {version, long_ago}; }
    void left(ConnectionId link) { held_.erase(link); }

    // Those to send it to now; it counts as sent to them. Called at least ten times a second.
    std::vector<ConnectionId> take_due(Time now);

private:
    struct Held {
        uint64_t version = 0;   // sent last
        Time out_of_date_since =
            long_ago;   // where there is a newer one; since the subscription began, if that was before
    };
    std::vector<ConnectionId> out_of_date() const;   // the longest first
    Span pause(size_t waiting) const;                // after a copy, while so many subscribers wait

    double link_megabits_;
    uint64_t version_ = 0;
    PackedText body_;
    std::map<ConnectionId, Held> held_;   // by subscriber
    Time next_ = long_ago;                // when the next copy may leave
    bool was_idle_ = true;                // nobody waited at the last call
};

}   // namespace myrtleroute::control
