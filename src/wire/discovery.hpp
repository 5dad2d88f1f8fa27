// The list of servers as discovery words it. Read twice: once to see whether it is sound, so that nothing of
// an unsound one is told, and once to tell it.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

#include "wire/json.hpp"

namespace myrtleroute::wire {

class ServerListSink {
public:
    virtual ~ServerListSink() = default;
    virtual void list_began(bool whole) = 0;
    virtual void server(std::string_view uid, std::string_view endpoint, std::string_view zone, uint16_t cell,
                        std::string_view state, double size, double boot_ms) = 0;
    virtual void list_ended() = 0;
};

// Reads one object `{"rev":..,"all":..,"targets":[..]}`; with a sink it tells it, without it only checks.
class ServerListReader : public JsonHandler {
public:
    explicit ServerListReader(ServerListSink* sink = nullptr, bool whole = false) : sink_(sink), whole_(whole) {}
    bool sound() const { return sound_ && over_ && rev_ && all_ && targets_; }
    const char* fault() const;   // the key that is missing or unsound
    uint64_t rev() const { return number_; }
    bool whole() const { return whole_; }

    void opens(bool list) override;
    void closes(bool list) override;
    void key(std::string_view name) override { key_ = name; }
    void value(Kind kind, std::string_view text) override;

private:
    void entry_ends();
    void unsound(std::string_view key);

    ServerListSink* sink_;
    bool whole_, sound_ = true, over_ = false, rev_ = false, all_ = false, targets_ = false;
    uint64_t number_ = 0;
    int depth_ = 0, skipped_ = 0;
    std::string key_, fault_;
    std::string uid_, endpoint_, zone_, state_;   // of the entry being read
    double cell_ = 0, size_ = 1, boot_ms_ = 0;
};

// Checks a whole body, then tells it; the version comes back, nothing if it is no sound list.
bool deliver_list(std::string_view body, ServerListSink& sink, uint64_t& rev);

}  // namespace myrtleroute::wire
