#include "base/packed_text.hpp"

#include <zlib.h>

#include <array>
#include <charconv>
#include <cstdint>
#include <utility>

namespace myrtleroute {
namespace {

constexpr int compression_level = 1;   // the fastest of zlib's levels: least CPU time
constexpr char length_end = ':';
constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr char padding = '=';
constexpr size_t group_bytes = 3, group_digits = 4;
constexpr int bits_per_digit = 6, bits_per_byte = 8;

std::string compressed(const std::string& text) {
    uLongf length = compressBound(text.size());
    std::string bytes(length, '\0');
    const auto* from = reinterpret_cast<const Bytef*>(text.data());
    if (compress2(reinterpret_cast<Bytef*>(bytes.data()), &length, from, text.size(), compression_level) != Z_OK)
        length = 0;
    bytes.resize(length);
    return bytes;
}

void append_base64(std::string& to, std::string_view bytes) {
    to.reserve(to.size() + (bytes.size() / group_bytes + 1) * group_digits);
    for (size_t at = 0; at < bytes.size(); at += group_bytes) {
        uint32_t group = 0;
        for (size_t i = 0; i < group_bytes; ++i)
            group = group << bits_per_byte | (at + i < bytes.size() ? static_cast<unsigned char>(bytes[at + i]) : 0);
        for (size_t i = 0; i < group_digits; ++i) {
            const auto shift = bits_per_digit * static_cast<int>(group_digits - 1 - i);
            const bool is_padding = at + i > bytes.size();
            to.push_back(is_padding ? padding : digits[group >> shift & 63]);
        }
    }
}

// The value of each base64 digit by its character; -1 for any other character.
std::array<int8_t, 256> digit_values() {
    std::array<int8_t, 256> values{};
    values.fill(-1);
    for (size_t i = 0; i < digits.size(); ++i) values[static_cast<unsigned char>(digits[i])] = static_cast<int8_t>(i);
    return values;
}

// Decodes base64; returns nullopt if the text is malformed.
std::optional<std::string> read_base64(std::string_view text) {
    static const auto values = digit_values();
    if (text.size() % group_digits != 0) return {};
    while (!text.empty() && text.back() == padding) text.remove_suffix(1);
    std::string bytes;
    bytes.reserve(text.size() / group_digits * group_bytes + group_bytes);
    uint32_t pending_bits = 0;
    int bits = 0;
    for (const char digit : text) {
        const auto value = values[static_cast<unsigned char>(digit)];
        if (value < 0) return {};
        pending_bits = pending_bits << bits_per_digit | static_cast<uint32_t>(value);
        bits += bits_per_digit;
        if (bits < bits_per_byte) continue;
        bits -= bits_per_byte;
        bytes.push_back(static_cast<char>(pending_bits >> bits));
    }
    return bytes;
}

}   // namespace

PackedText::PackedText(std::string text) {
    if (text.empty()) return;
    auto data = std::make_shared<Data>();
    data->text = std::move(text);
    data_ = std::move(data);
}

const std::string& PackedText::text() const {
    static const std::string empty;
    return data_ ? data_->text : empty;
}

const std::string& PackedText::packed() const {
    static const std::string empty = "0:";
    if (!data_) return empty;
    std::call_once(data_->packed_once, [this] {
        data_->packed = std::to_string(data_->text.size()) + length_end;
        append_base64(data_->packed, compressed(data_->text));
    });
    return data_->packed;
}

std::optional<PackedText> PackedText::unpack(std::string_view packed, size_t max_size) {
    size_t length = 0;
    const auto* end = packed.data() + packed.size();
    const auto parsed = std::from_chars(packed.data(), end, length);
    if (parsed.ec != std::errc{} || parsed.ptr == end || *parsed.ptr != length_end || length > max_size) return {};
    if (length == 0) return PackedText{};
    const auto bytes = read_base64(packed.substr(static_cast<size_t>(parsed.ptr - packed.data()) + 1));
    if (!bytes) return {};
    std::string text(length, '\0');
    uLongf unpacked_length = length;
    const auto* from = reinterpret_cast<const Bytef*>(bytes->data());
    const bool valid = uncompress(reinterpret_cast<Bytef*>(text.data()), &unpacked_length, from, bytes->size()) == Z_OK;
    if (!valid || unpacked_length != length) return {};
    return PackedText(std::move(text));
}

}   // namespace myrtleroute
