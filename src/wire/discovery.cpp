#include "wire/discovery.hpp"

#include "wire/endpoint.hpp"
#include "wire/text.hpp"

namespace myrtleroute::wire {

void ServerListReader::mark_invalid(std::string_view key) {
    if (valid_) fault_ = key;
    valid_ = false;
}

const char* ServerListReader::fault() const {
    if (!valid_) return fault_.c_str();
    return !has_rev_ ? "rev" : !has_all_ ? "all" : "targets";
}

void ServerListReader::on_open(bool list) {
    ++depth_;
    if (skipped_ || depth_ > 3) {   // unknown fields, as of later versions, are skipped
        ++skipped_;
        return;
    }
    if (depth_ == 1 && list) mark_invalid("targets");
    if (depth_ == 2) {
        if (key_ != "targets") ++skipped_;
        else if (!list || has_targets_) mark_invalid("targets");
        else {
            has_targets_ = true;
            if (sink_) sink_->list_began(complete_);
        }
    }
    if (depth_ != 3) return;
    if (list) mark_invalid("targets");
    uid_.clear();
    endpoint_.clear();
    zone_.clear();
    state_.clear();
    cell_ = boot_ms_ = 0;
    size_ = 1;
}

void ServerListReader::on_close(bool) {
    --depth_;
    if (skipped_) {
        --skipped_;
        return;
    }
    if (depth_ == 2) entry_ended();
    if (depth_ == 1 && sink_) sink_->list_ended();
    if (depth_ == 0) finished_ = true;
}

void ServerListReader::on_value(Kind kind, std::string_view text) {
    if (skipped_) return;
    if (depth_ == 0 || depth_ == 2) return mark_invalid("targets");
    if (depth_ == 1) {
        if (key_ == "rev") {
            const auto n = kind == Kind::number ? wire::parse_integer<uint64_t>(text) : std::nullopt;
            if (!n) return mark_invalid("rev");
            revision_ = *n;
            has_rev_ = true;
        } else if (key_ == "all") {
            if (kind != Kind::boolean) return mark_invalid("all");
            if (!sink_) complete_ = text == "true";
            has_all_ = true;
        } else if (key_ == "targets") {
            mark_invalid("targets");
        }
        return;
    }
    if (kind == Kind::null) return;
    const auto read_text = [&](std::string& out) {
        if (kind != Kind::text) mark_invalid(key_);
        out = text;
    };
    const auto read_number = [&](double& out, double max) {
        const auto n = kind == Kind::number ? parse_decimal(text) : std::nullopt;
        if (!n || *n < 0 || *n > max) return mark_invalid(key_);
        out = *n;
    };
    if (key_ == "uid") read_text(uid_);
    else if (key_ == "endpoint") read_text(endpoint_);
    else if (key_ == "az") read_text(zone_);
    else if (key_ == "state") read_text(state_);
    else if (key_ == "pod_group") read_number(cell_, 65535);
    else if (key_ == "capacity_hint") read_number(size_, 1e6);
    else if (key_ == "boot_ms") read_number(boot_ms_, 1e15);
}

void ServerListReader::entry_ended() {
    if (uid_.empty()) return mark_invalid("uid");
    const bool deleted = state_ == "DELETED";
    if (!deleted && state_ != "SERVING" && state_ != "DRAINING") return mark_invalid("state");
    if (!(deleted && endpoint_.empty()) && !parse_endpoint(endpoint_)) return mark_invalid("endpoint");
    if (sink_) sink_->server(uid_, endpoint_, zone_, static_cast<uint16_t>(cell_), state_, size_, boot_ms_);
}

bool deliver_list(std::string_view body, ServerListSink& sink, uint64_t& rev) {
    ServerListReader check;
    JsonParser validation(check);
    if (!validation.feed(body) || !validation.finish() || !check.valid()) return false;
    ServerListReader delivery(&sink, check.complete());
    JsonParser delivering(delivery);
    delivering.feed(body);
    delivering.finish();
    rev = check.rev();
    return true;
}

}  // namespace myrtleroute::wire
