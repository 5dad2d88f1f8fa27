// Which subscribers are sent the newest configuration when.
//
// A configuration is sent whole, over a link that the control node shares with the proxy on its machine. While changes come
// faster than a part of that link carries their copies, subscribers skip versions: what is out of date before it leaves
// is not sent.
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
    // `link_megabits`: of the machine's own link, in Mbit/s.
    explicit ConfigurationFanout(double link_megabits) : link_megabits_(link_megabits) {}

    // The newest one that is committed. False: it is known already, or older.
    bool committed(uint64_t version, const std::string& body);
    uint64_t version() const { return version_; }
    const std::string& body() const { return body_; }
    messages::ConfigurationTold told() const { return {version_, body_}; }

    // A subscription that holds this version begins, or has ended.
    void subscribed(LinkNumber link, uint64_t version) { held_[link] = version; }
    void left(LinkNumber link) { held_.erase(link); }

    // Whether the newest is to be sent to that subscriber now, at the begin of its subscription; it counts as sent.
    bool take(LinkNumber link);
    // Those to send it to now; it counts as sent to them.
    std::vector<LinkNumber> take_due(Time now);

    // How long copies for so many subscribers keep back the next ones.
    Span pause_after(size_t copies) const;

private:
    double link_megabits_;
    uint64_t version_ = 0;
    std::string body_;
    std::map<LinkNumber, uint64_t> held_;   // by subscriber, the version sent to it last
    Time next_ = long_ago;
};

}   // namespace myrtleroute::control
