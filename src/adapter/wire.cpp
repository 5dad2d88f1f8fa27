#include "wire.hpp"

#include <array>
#include <cmath>
#include <cstring>
#include <istream>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "logic.hpp"

namespace myrtleroute {
namespace {

static_assert(sizeof(float) == 4 && sizeof(double) == 8);

class Reader {
public:
    Reader(const char* at, size_t size) : at_(at), end_(at + size) {}
    bool empty() const { return at_ == end_; }
    std::string_view bytes(size_t n) {
        if (n > static_cast<size_t>(end_ - at_)) throw BadInput("a record is too short for its fields");
        at_ += n;
        return {at_ - n, n};
    }
    template <class T>
    T number() {
        T value;
        std::memcpy(&value, bytes(sizeof value).data(), sizeof value);
        return value;
    }
    double seconds() {
        const auto value = number<double>();
        if (!std::isfinite(value)) throw BadInput("a time is not a finite number");
        return value;
    }
    ServerId server() {   // four bytes of address and two of port, in the byte order of the protocol
        ServerId id = 0;
        std::memcpy(&id, bytes(6).data(), 6);
        return id;
    }

private:
    const char* at_;
    const char* end_;
};

class Reply {
public:
    void begin() {
        bytes_.assign(4, '\0');
        selected_.reset();
    }
    void select(uint32_t instance) {   // writes a context record if the instance changes
        if (selected_ == instance) return;
        record(1070, instance);
        selected_ = instance;
    }
    template <class... Fields>
    void record(uint16_t code, Fields... fields) {
        put(code);
        put(static_cast<uint32_t>((sizeof(Fields) + ... + 0)));
        (put(fields), ...);
    }
    void raw(std::string_view text) { bytes_.append(text); }
    template <class T>
    void put(T value) {
        bytes_.append(reinterpret_cast<const char*>(&value), sizeof value);
    }
    const std::string& finish() {
        const auto size = static_cast<uint32_t>(bytes_.size());
        std::memcpy(bytes_.data(), &size, sizeof size);
        return bytes_;
    }

private:
    std::string bytes_;
    std::optional<uint32_t> selected_;   // the instance selected by the last context record
};

struct Address {
    char bytes[6];
    explicit Address(ServerId id) { std::memcpy(bytes, &id, 6); }
};

class Instance : public Actions {
public:
    Instance(uint32_t number, Reply& reply) : number_(number), reply_(reply) {}

    void send(CallId call, ServerId server, Span timeout) override {
        record(1110, call, Address(server), timeout.s);
    }
    void cancel(CallId call, int attempt) override { record(1020, call, static_cast<uint16_t>(attempt)); }
    void rate_limit(CallId call, Span retry_after) override { record(1030, call, retry_after.s); }
    void error(CallId call) override { record(1050, call); }
    void probe(ServerId server) override { record(1100, Address(server)); }
    void close_idle(ServerId server) override { record(1040, Address(server)); }
    void watch_list() override { record(1090, uint8_t{1}); }
    void set_timer(Span after, uint64_t cookie) override { record(1060, after.s, cookie); }
    void log(std::string_view what, ServerId server) override {
        std::string line(what);
        if (server) {
            unsigned char at[6];
            std::memcpy(at, &server, 6);
            for (int i = 0; i < 4; ++i) line.append(i ? "." : " ").append(std::to_string(at[i]));
            line.append(":").append(std::to_string(at[4] + 256 * at[5]));
        }
        reply_.select(number_);
        reply_.put(uint16_t{1120});
        reply_.put(static_cast<uint32_t>(line.size() + 2));
        reply_.put(static_cast<uint16_t>(line.size()));
        reply_.raw(line);
    }

    std::unique_ptr<Balancer> balancer;

private:
    template <class... Fields>
    void record(uint16_t code, Fields... fields) {
        reply_.select(number_);
        reply_.record(code, fields...);
    }
    uint32_t number_;
    Reply& reply_;
};

Outcome outcome_from(uint16_t code) {
    switch (code) {
        case 100: return Outcome::fulfilled;
        case 301: return Outcome::errored;
        case 302: return Outcome::full;
        case 303: return Outcome::timed_out;
        case 304: return Outcome::connect_failed;
        case 305: return Outcome::reset;
        case 306: return Outcome::cancelled;
        case 307: return Outcome::never_sent;
        default: throw BadInput("unknown outcome " + std::to_string(code));
    }
}

class Dispatcher {
public:
    const std::string& handle_batch(Time now, Reader batch) {
        now_ = now;
        reply_.begin();
        instance_ = nullptr;
        while (!batch.empty()) {
            const auto code = batch.number<uint16_t>();
            const auto size = batch.number<uint32_t>();
            const auto fields = batch.bytes(size);
            event(code, Reader(fields.data(), fields.size()));
        }
        return reply_.finish();
    }

private:
    void event(uint16_t code, Reader in) {
        switch (code) {
            case 1110: return select(in.number<uint32_t>());
            case 1050: return attach(in);
            case 1020: return store_list(in);
            case 1010: return update_list(in);
            case 1080: return arrived(in);
            case 1100: return balancer().client_left(now_, in.number<uint64_t>());
            case 1030: return health(in);
            case 1000: balancer(); instance_->balancer.reset(); return;
            case 1040: return balancer().timer_fired(now_, in.number<uint64_t>());
            case 1070: return first_byte(in);
            case 1090: return response(in);
            default: return;   // unknown records, as of later versions, are skipped; mail records are not used
        }
    }
    void select(uint32_t number) {
        number_ = number;
        const auto it = instances_.find(number);
        instance_ = it == instances_.end() ? nullptr : it->second.get();
    }
    Balancer& balancer() {
        if (!instance_ || !instance_->balancer) throw BadInput("an event for an unknown instance");
        return *instance_->balancer;
    }
    void attach(Reader in) {
        if (!number_) throw BadInput("an event before any instance was named");
        const auto seed = in.number<uint64_t>();
        const auto pairs = in.bytes(in.number<uint32_t>());
        auto& slot = instances_[*number_];
        slot = std::make_unique<Instance>(*number_, reply_);
        instance_ = slot.get();
        instance_->balancer = start_balancer(now_, SettingsReader(pairs).decode(), seed, *instance_);
    }
    void store_list(Reader in) {
        const auto number = in.number<uint8_t>();
        const auto count = in.number<uint32_t>();
        if (number >= lists_.size()) throw BadInput("unknown list number " + std::to_string(number));
        lists_[number] = std::string(in.bytes(size_t{25} * count));
    }
    void update_list(Reader in) {
        const auto kind = in.number<uint8_t>();
        in.number<uint64_t>();
        const auto number = in.number<uint8_t>();
        if (kind == 3) return balancer().list_failed(now_);
        if (kind > 3) throw BadInput("unknown kind of list " + std::to_string(kind));
        if (number >= lists_.size() || !lists_[number])
            throw BadInput("unknown list number " + std::to_string(number));
        Reader entries(lists_[number]->data(), lists_[number]->size());
        balancer().list_began(now_, kind != 0, kind == 2);
        while (!entries.empty()) {
            const auto id = entries.server();
            const auto zone = entries.number<uint16_t>();
            entries.number<uint16_t>();
            const auto cell = entries.number<uint16_t>();
            const auto state = entries.number<uint8_t>();
            if (state > 2) throw BadInput("unknown state of a host " + std::to_string(state));
            const auto size = entries.number<float>();
            const auto launched = entries.seconds();
            if (!std::isfinite(size)) throw BadInput("a capacity hint is not a finite number");
            balancer().server_listed(id, zone, cell, static_cast<State>(state), size,
                             launched == 0 ? long_ago : Time{launched});
        }
        balancer().list_ended();
    }
    void arrived(Reader in) {
        const auto id = in.number<uint64_t>();
        const auto key = in.number<uint64_t>();
        const auto bits = in.number<uint8_t>();
        const bool hinted = bits & 1, again = bits & 2;
        const auto product = in.number<uint8_t>();
        const auto tenant = in.number<uint16_t>();
        const Span timeout{in.seconds()};
        const Span work{hinted ? in.seconds() : 0};
        balancer().call_arrived(now_, id, product, tenant, timeout, work, key, again);
    }
    void health(Reader in) {
        const auto id = in.server();
        balancer().probe_ended(now_, id, outcome_from(in.number<uint16_t>()) == Outcome::fulfilled);
    }
    void first_byte(Reader in) {
        const auto id = in.number<uint64_t>();
        in.server();
        balancer().stream_began(now_, id, in.number<uint16_t>());
    }
    void response(Reader in) {
        const auto id = in.number<uint64_t>();
        const auto outcome = outcome_from(in.number<uint16_t>());
        const bool done = in.number<uint8_t>() != 0;
        balancer().attempt_ended(now_, id, in.number<uint16_t>(), outcome, done);
    }

    Time now_;
    Reply reply_;
    std::optional<uint32_t> number_;
    Instance* instance_ = nullptr;
    std::map<uint32_t, std::unique_ptr<Instance>> instances_;
    std::array<std::optional<std::string>, 16> lists_;
};

}  // namespace

void serve(std::istream& in, std::ostream& out) {
    Dispatcher dispatcher;
    std::string batch;
    char header[12];
    while (in.read(header, sizeof header)) {
        uint32_t size;
        double clock;
        std::memcpy(&size, header, 4);
        std::memcpy(&clock, header + 4, 8);
        if (size < sizeof header) throw BadInput("a frame is shorter than its header");
        if (!std::isfinite(clock)) throw BadInput("the clock is not a finite number");
        batch.resize(size - sizeof header);
        if (!in.read(batch.data(), static_cast<std::streamsize>(batch.size())))
            throw BadInput("a frame is cut off");
        const auto& reply = dispatcher.handle_batch(Time{clock}, Reader(batch.data(), batch.size()));
        out.write(reply.data(), static_cast<std::streamsize>(reply.size()));
        out.flush();
    }
    if (in.gcount() > 0) throw BadInput("a frame is cut off");
}

}  // namespace myrtleroute
