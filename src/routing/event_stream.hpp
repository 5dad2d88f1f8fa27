// Splits a text/event-stream body (HTML living standard 9.2) into whole events.
//
// Only whole events are forwarded, so that a stream that breaks inside an event can be resumed at another host.
#pragma once
#include <string>
#include <string_view>

namespace myrtleroute::routing {

class EventStream {
public:
    explicit EventStream(std::string last_id = {}) : last_id_(std::move(last_id)) {}

    // Adds received bytes and returns the events that they complete, byte for byte.
    std::string feed(std::string_view bytes) {
        pending_.append(bytes);
        size_t whole = 0;
        for (auto end = find_event_end(scanned_); end != pending_.npos; end = find_event_end(whole)) whole = end;
        std::string events = pending_.substr(0, whole);
        pending_.erase(0, whole);
        scanned_ = pending_.size() > 3 ? pending_.size() - 3 : 0;   // the blank line may be split between two reads
        track_event_ids(events);
        return events;
    }
    // The bytes after the last whole event.
    const std::string& partial_event() const { return pending_; }
    // The id of the last whole event, or the id that the stream was resumed from if no event had one.
    const std::string& last_id() const { return last_id_; }
    // Whether a new run that resumes after `last_id` continues exactly after what has been returned by `feed`.
    bool has_position() const { return has_position_; }
    // Discards the partial event of the failed host before the stream is resumed at another one.
    void discard_partial_event() {
        pending_.clear();
        scanned_ = 0;
    }

private:
    // The position after the first blank line at or after `from`; npos if there is none.
    size_t find_event_end(size_t from) const {
        for (auto at = pending_.find('\n', from); at != pending_.npos; at = pending_.find('\n', at + 1)) {
            if (at + 1 < pending_.size() && pending_[at + 1] == '\n') return at + 2;
            if (at + 2 < pending_.size() && pending_[at + 1] == '\r' && pending_[at + 2] == '\n') return at + 3;
        }
        return std::string::npos;
    }
    void track_event_ids(std::string_view events) {
        while (!events.empty()) {
            const auto end = events.find('\n');
            auto line = events.substr(0, end);
            if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
            if (line.empty()) {
                end_event();
            } else if (line.starts_with("id:")) {
                line.remove_prefix(3);
                if (line.starts_with(' ')) line.remove_prefix(1);
                last_id_ = line;
                event_has_id_ = true;
            } else if (line.starts_with("data")) {
                event_has_data_ = true;
            }
            events = end == events.npos ? std::string_view{} : events.substr(end + 1);
        }
    }
    // An event without data is not dispatched to the client's application, so it is no loss to repeat or omit it.
    void end_event() {
        if (event_has_id_ || event_has_data_) has_position_ = event_has_id_;
        event_has_id_ = event_has_data_ = false;
    }
    std::string pending_, last_id_;
    size_t scanned_ = 0;
    bool has_position_ = true, event_has_id_ = false, event_has_data_ = false;
};

}   // namespace myrtleroute::routing
