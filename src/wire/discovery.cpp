#include "wire/discovery.hpp"

#include "wire/endpoint.hpp"
#include "wire/text.hpp"

namespace myrtleroute::wire {

void ServerListReader::unsound(std::string_view key) {
    if (sound_) fault_ = key;
    sound_ = false;
}

const char* ServerListReader::fault() const {
    if (!sound_) return fault_.c_str();
    return !rev_ ? "rev" : !all_ ? "all" : "targets";
}

void ServerListReader::opens(bool list) {
    ++depth_;
    if (skipped_ || depth_ > 3) {   // fields of later versions
        ++skipped_;
        return;
    }
    if (depth_ == 1 && list) unsound("targets");
    if (depth_ == 2) {
        if (key_ != "targets") ++skipped_;
        else if (!list || targets_) unsound("targets");
        else {
            targets_ = true;
            if (sink_) sink_->list_began(whole_);
        }
    }
    if (depth_ != 3) return;
    if (list) unsound("targets");
    uid_.clear();
    endpoint_.clear();
    zone_.clear();
    state_.clear();
    cell_ = boot_ms_ = 0;
    size_ = 1;
}

void ServerListReader::closes(bool) {
    --depth_;
    if (skipped_) {
        --skipped_;
        return;
    }
    if (depth_ == 2) entry_ends();
    if (depth_ == 1 && sink_) sink_->list_ended();
    if (depth_ == 0) over_ = true;
}

void ServerListReader::value(Kind kind, std::string_view text) {
    if (skipped_) return;
    if (depth_ == 0 || depth_ == 2) return unsound("targets");
    if (depth_ == 1) {
        if (key_ == "rev") {
            const auto n = kind == Kind::number ? wire::parse_integer<uint64_t>(text) : std::nullopt;
            if (!n) return unsound("rev");
            number_ = *n;
            rev_ = true;
        } else if (key_ == "all") {
            if (kind != Kind::truth) return unsound("all");
            if (!sink_) whole_ = text == "true";
            all_ = true;
        } else if (key_ == "targets") {
            unsound("targets");
        }
        return;
    }
    if (kind == Kind::null) return;
    const auto words = [&](std::string& into) {
        if (kind != Kind::text) unsound(key_);
        into = text;
    };
    const auto number = [&](double& into, double most) {
        const auto n = kind == Kind::number ? parse_decimal(text) : std::nullopt;
        if (!n || *n < 0 || *n > most) return unsound(key_);
        into = *n;
    };
    if (key_ == "uid") words(uid_);
    else if (key_ == "endpoint") words(endpoint_);
    else if (key_ == "az") words(zone_);
    else if (key_ == "state") words(state_);
    else if (key_ == "pod_group") number(cell_, 65535);
    else if (key_ == "capacity_hint") number(size_, 1e6);
    else if (key_ == "boot_ms") number(boot_ms_, 1e15);
}

void ServerListReader::entry_ends() {
    if (uid_.empty()) return unsound("uid");
    const bool deleted = state_ == "DELETED";
    if (!deleted && state_ != "SERVING" && state_ != "DRAINING") return unsound("state");
    if (!(deleted && endpoint_.empty()) && !parse_endpoint(endpoint_)) return unsound("endpoint");
    if (sink_) sink_->server(uid_, endpoint_, zone_, static_cast<uint16_t>(cell_), state_, size_, boot_ms_);
}

bool deliver_list(std::string_view body, ServerListSink& sink, uint64_t& rev) {
    ServerListReader check;
    JsonParser first(check);
    if (!first.feed(body) || !first.finish() || !check.sound()) return false;
    ServerListReader tell(&sink, check.whole());
    JsonParser second(tell);
    second.feed(body);
    second.finish();
    rev = check.rev();
    return true;
}

}  // namespace myrtleroute::wire
