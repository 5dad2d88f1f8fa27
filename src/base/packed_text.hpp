// A long text that many hold and that is sent to many: copies share it, and its packed form is made once, for all of them.
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
    PackedText(std::string text);   // NOLINT(google-explicit-constructor): it stands wherever a text does
    PackedText(const char* text) : PackedText(std::string(text)) {}   // NOLINT(google-explicit-constructor)

    const std::string& text() const;
    operator const std::string&() const { return text(); }   // NOLINT(google-explicit-constructor)
    size_t size() const { return text().size(); }
    bool empty() const { return text().empty(); }

    // Whether it is long enough for its packed form to be sent and stored in its place; and the bytes that this takes.
    bool is_worth_packing() const { return size() >= least_packed; }
    size_t encoded_size() const { return is_worth_packing() ? packed().size() : size(); }

    // Compressed by zlib and written in base64, with the length of the text in front. May be called from several threads.
    const std::string& packed() const;
    // Nothing where it is no packed text, or one that is longer than `most` bytes.
    static std::optional<PackedText> unpack(std::string_view packed, size_t most);

    bool operator==(const PackedText& other) const { return data_ == other.data_ || text() == other.text(); }

private:
    static constexpr size_t least_packed = 1024;
    struct Data {
        std::string text;
        mutable std::once_flag is_packed;
        mutable std::string packed;
    };
    std::shared_ptr<const Data> data_;   // null: empty
};

}   // namespace myrtleroute
