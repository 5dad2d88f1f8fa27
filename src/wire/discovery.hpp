// Parses the server list in the format of discovery. The list is parsed twice: first to validate it, so that nothing
// of an invalid list is delivered, then to deliver it.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

#include "wire/json.hpp"

namespace myrtleroute::wire {

// Receives the entries of a server list.
class ServerListSink {
public:
    virtual ~ServerListSink() = default;
    virtual void list_began(bool complete) = 0;
    virtual void server(std::string_view uid, std::string_view endpoint, std::string_view zone, uint16_t cell,
                        std::string_view state, double size, double boot_ms) = 0;
    virtual void list_ended() = 0;
};

// Parses one object `{"rev":..,"all":..,"targets":[..]}`; delivers it to the sink, or only validates it without one.
class ServerListReader : public JsonHandler {
public:
    explicit ServerListReader(ServerListSink* sink = nullptr, bool complete = false)
        : sink_(sink), complete_(complete) {}
    bool valid() const { return valid_ && finished_ && has_rev_ && has_all_ && has_targets_; }
    const char* fault() const;   // the key that is missing or invalid
    uint64_t rev() const { return revision_; }
    bool complete() const { return complete_; }

    void on_open(bool list) override;
    void on_close(bool list) override;
    void on_key(std::string_view name) override { key_ = name; }
    void on_value(Kind kind, std::string_view text) override;

private:
    void entry_ended();
    void mark_invalid(std::string_view key);

    ServerListSink* sink_;
    bool complete_, valid_ = true, finished_ = false, has_rev_ = false, has_all_ = false, has_targets_ = false;
    uint64_t revision_ = 0;
    int depth_ = 0, skipped_ = 0;
    std::string key_, fault_;
    std::string uid_, endpoint_, zone_, state_;   // of the entry being read
    double cell_ = 0, size_ = 1, boot_ms_ = 0;
};

// Validates a body and delivers it to the sink with its revision; false, and nothing delivered, if it is invalid.
bool deliver_list(std::string_view body, ServerListSink& sink, uint64_t& rev);

}  // namespace myrtleroute::wire
