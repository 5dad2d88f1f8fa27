#include <catch2/catch.hpp>
#include <cstring>
#include <limits>
#include <sstream>

#include "adapter/wire.hpp"
#include "balancer_harness.hpp"

using namespace myrtleroute;

namespace {

template <class... Fields>
std::string fields(Fields... f) {
    std::string s;
    (s.append(reinterpret_cast<const char*>(&f), sizeof f), ...);
    return s;
}
std::string record(uint16_t code, const std::string& body) {
    return fields(code, uint32_t(body.size())) + body;
}
std::string frame(const std::string& records, double clock = 5) {
    return fields(uint32_t(12 + records.size()), clock) + records;
}
std::string select(uint32_t n = 3) { return record(1110, fields(n)); }
std::string attach(const std::string& settings = pairs()) {
    return record(1050, fields(uint64_t{1}, uint32_t(settings.size())) + settings);
}
std::string stored_list(uint8_t number = 0) {
    std::string hosts;
    for (char i = 1; i <= 4; ++i)
        hosts += std::string("\x0a\x01\x01", 3) + i +
                 fields(uint16_t{80}, uint16_t{0}, uint16_t{0}, uint16_t{0}, uint8_t{1}, 1.0f, 0.0);
    return record(1020, fields(number, uint32_t{4}) + hosts);
}
std::string list_update(uint8_t kind = 2, uint8_t number = 0) {
    return record(1010, fields(kind, uint64_t{1}, number));
}
std::string accept(uint8_t product = 0) {
    return record(1080, fields(uint64_t{77}, uint64_t{0}, uint8_t{0}, product, uint16_t{0}, 2.0, 0.0));
}
std::string response(uint16_t code) {
    return record(1090, fields(uint64_t{77}, code, uint8_t{1}, uint16_t{0}) + std::string(6, '\1') +
                            fields(0.1, uint8_t{0}));
}
std::string run(const std::string& input) {
    std::istringstream in(input);
    std::ostringstream out;
    serve(in, out);
    return out.str();
}
const std::string start = select() + stored_list() + attach() + list_update();

}  // namespace

TEST_CASE("each valid input frame is answered with one frame") {
    struct Case { const char* name; std::string input; size_t frames; bool sends; };
    const auto c = GENERATE(values<Case>({
        {"nothing", "", 0, false},
        {"an empty batch", frame(""), 1, false},
        {"a call", frame(start) + frame(select() + accept()), 2, true},
        {"an unknown record is skipped", frame(start + record(9, "abc")) + frame(select() + accept()), 2,
         true},
        {"an outcome of no known call", frame(start + response(100)), 1, false},
        {"an unwanted timer", frame(start + record(1040, fields(uint64_t{5}))), 1, false},
        {"a client of no known call", frame(start + record(1100, fields(uint64_t{5}))), 1, false},
        {"longer settings",
         frame(select() + stored_list() + attach(pairs("Some.Later.Key=7")) + list_update() + accept()), 1, true},
        {"a restart", frame(start + record(1000, "") + select() + attach() + list_update() + accept()), 1, true},
    }));
    INFO(c.name);
    const auto out = run(c.input);
    size_t frames = 0;
    for (size_t at = 0; at < out.size(); ++frames) {
        uint32_t size;
        std::memcpy(&size, out.data() + at, 4);
        REQUIRE(size >= 4);
        at += size;
        REQUIRE(at <= out.size());
    }
    CHECK(frames == c.frames);
    CHECK((out.find(fields(uint16_t{1110}, uint32_t{22}, uint64_t{77})) != out.npos) == c.sends);
}

TEST_CASE("malformed input fails with a one-line error") {
    struct Case { const char* message; std::string input; };
    const auto c = GENERATE(values<Case>({
        {"cut off", frame("").substr(0, 5)},
        {"cut off", frame(start).substr(0, 40)},
        {"shorter than its header", fields(uint32_t{11}, 5.0)},
        {"clock", frame("", std::numeric_limits<double>::quiet_NaN())},
        {"too short", frame(std::string("\x56\x04\x04", 3))},
        {"too short", frame(record(1110, "ab"))},
        {"too short", frame(select() + record(1110, fields(uint32_t{3})).substr(0, 8))},
        {"too short", frame(start + record(1080, fields(uint64_t{77})))},
        {"too short", frame(record(1020, fields(uint8_t{0}, uint32_t{9})))},
        {"unknown instance", frame(select(4) + accept())},
        {"unknown instance", frame(accept())},
        {"unknown instance", frame(start + record(1000, "") + accept())},
        {"before any instance", frame(attach())},
        {"unknown list number", frame(select() + attach() + list_update())},
        {"unknown list number", frame(stored_list(16))},
        {"unknown kind of list", frame(start + list_update(4))},
        {"unknown outcome", frame(start + response(99))},
        {"unknown product", frame(start + accept(3))},
        {"Products.count is missing", frame(select() + attach(""))},
        {"Balancers is no sound number", frame(select() + attach(pairs("Balancers=many")))},
        {"Limits.Cancel has an unknown value", frame(select() + attach(pairs("Limits.Cancel=perhaps")))},
        {"Products.0.LatencySloS must be above 0",
         frame(select() + attach(pairs("Products.0.LatencySloS=0")))},
    }));
    INFO(c.message);
    CHECK_THROWS_WITH(run(c.input), Catch::Contains(c.message) && !Catch::Contains("\n"));
}
