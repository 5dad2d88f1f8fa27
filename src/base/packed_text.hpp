// An immutable text that is shared and sent often. Copies share the text and its packed form (compressed, in base64),
// which is computed at most once for all of them.
#pragma once
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace myrtleroute {

class PackedText {
public:
    PackedText() = default;
    PackedText(std::string text);   // NOLINT(google-explicit-constructor): usable wherever a string is
    PackedText(const char* text) : PackedText(std::string(text)) {}   // NOLINT(google-explicit-constructor)

    const std::string& text() const;
    operator const std::string&() const { return text(); }   // NOLINT(google-explicit-constructor)
    size_t size() const { return text().size(); }
    bool empty() const { return text().empty(); }

    // Whether the text is long enough to be sent and stored in its packed form.
    bool should_pack() const { return size() >= min_packed_size; }
    // Bytes of the form that is sent and stored.
    size_t encoded_size() const { return should_pack() ? packed().size() : size(); }

    // The text compressed with zlib, in base64, behind the decimal length of the text and a colon. Thread-safe.
    const std::string& packed() const;
    // Decodes a packed text. Returns nullopt if it is malformed or its text is longer than `max_size` bytes.
    static std::optional<PackedText> unpack(std::string_view packed, size_t max_size);

    bool operator==(const PackedText& other) const { return data_ == other.data_ || text() == other.text(); }

private:
    static constexpr size_t min_packed_size = 1024;   // bytes
    struct Data {
        std::string text;
        mutable std::once_flag packed_once;
        mutable std::string packed;
    };
    std::shared_ptr<const Data> data_;   // null for an empty text
};

}   // namespace myrtleroute
