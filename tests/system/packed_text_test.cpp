// PackedText: packing, unpacking, and rejection of malformed input.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "base/packed_text.hpp"
#include "messages/messages.hpp"
#include "random_text.hpp"

using namespace myrtleroute;

namespace {

constexpr size_t max_size = 1 << 20;

std::vector<std::string> samples() {
    std::vector<std::string> texts{"", "a", "ab", "abc", "abcd", std::string(5000, 'x'), std::string("\0\xff", 2)};
    for (size_t length = 1; length < 40; ++length) texts.push_back(testing::random_text(length));
    texts.push_back(testing::random_text(100000));
    return texts;
}

}   // namespace

TEST_CASE("a text is unchanged by packing and unpacking") {
    for (const auto& text : samples()) {
        const auto unpacked = PackedText::unpack(PackedText(text).packed(), max_size);
        REQUIRE(unpacked);
        CHECK(unpacked->text() == text);
    }
}

TEST_CASE("copies share the packed form, and texts are compared by content") {
    const PackedText text(std::string(5000, 'x'));
    const auto copy = text;   // NOLINT(performance-unnecessary-copy-initialization): the copy is the subject
    CHECK(&copy.packed() == &text.packed());
    CHECK(copy == text);
    CHECK(PackedText(std::string(5000, 'x')) == text);
    CHECK_FALSE(PackedText("y") == text);
    CHECK(PackedText{} == PackedText(""));
}

TEST_CASE("a repetitive configuration of 400 KB is sent in less than a tenth of its size") {
    std::string routes;
    while (routes.size() < 400000)
        routes += R"({"hostname":"h.example","pathPrefix":"/)" + testing::random_text(7) +
                  std::to_string(routes.size()) +
                  R"(/","kind":"idempotent","timeoutMs":1000,"targetLatencyMs":100,"priority":1,"service":"s"},)";
    CHECK(PackedText(routes).encoded_size() < 40000);
}

TEST_CASE("malformed packed texts are rejected, also with a wrong or too large length") {
    const auto packed = PackedText(testing::random_text(3000)).packed();
    for (const std::string text : {"", "5", ":", "x:abcd", "3000:", "3000:####", "3000:abcd"})
        CHECK_FALSE(PackedText::unpack(text, max_size));
    CHECK_FALSE(PackedText::unpack(packed, 2999));
    CHECK_FALSE(PackedText::unpack("2999" + packed.substr(4), max_size));
    CHECK_FALSE(PackedText::unpack("3001" + packed.substr(4), max_size));
    for (size_t at = 5; at < packed.size(); at += 97) {
        auto corrupted = packed;
        corrupted[at] = corrupted[at] == 'A' ? 'B' : 'A';
        const auto read = PackedText::unpack(corrupted, max_size);
        CHECK_FALSE((read && read->text() == testing::random_text(3000)));
    }
}

TEST_CASE("a long configuration is sent packed, and the unpacked form of earlier versions is still read") {
    const auto long_text = std::string(5000, 'x');
    const auto message = messages::encode(messages::ConfigurationUpdate{3, long_text});
    CHECK(message.size() < 300);
    const auto read = messages::decode(message);
    REQUIRE(read);
    CHECK(std::get<messages::ConfigurationUpdate>(*read).body.text() == long_text);
    const auto older_form = messages::decode(R"({"kind":"configuration","version":3,"body":")" + long_text + R"("})");
    REQUIRE(older_form);
    CHECK(std::get<messages::ConfigurationUpdate>(*older_form).body.text() == long_text);
    CHECK_FALSE(messages::decode(R"({"kind":"configuration","version":3,"body":{"zlib":"9:!"}})"));
}
