#include "base/packed_text.hpp"

#include <zlib.h>

#include <array>
#include <charconv>
#include <cstdint>
#include <utility>

namespace myrtleroute {
namespace {

constexpr int fast = 1;   // compression level: what costs the least processor time
constexpr char length_end = ':';
constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr char padding = '=';
constexpr size_t group_bytes = 3, group_digits = 4;
constexpr int bits_a_digit = 6, bits_a_byte = 8;

std::string compressed(const std::string& text) {
    uLongf length = compressBound(text.size());
    std::string bytes(length, '\0');
    const auto* from = reinterpret_cast<const Bytef*>(text.data());
    if (compress2(reinterpret_cast<Bytef*>(bytes.data()), &length, from, text.size(), fast) != Z_OK) length = 0;
    bytes.resize(length);
    return bytes;
}

void append_base64(std::string& to, std::string_view bytes) {
    to.reserve(to.size() + (bytes.size() / group_bytes + 1) * group_digits);
    for (size_t at = 0; at < bytes.size(); at += group_bytes) {
        uint32_t group = 0;
        for (size_t i = 0; i < group_bytes; ++i)
            group = group << bits_a_byte | (at + i < bytes.size() ? static_cast<unsigned char>(bytes[at + i]) : 0);
        for (size_t i = 0; i < group_digits; ++i) {
            const auto shift = bits_a_digit * static_cast<int>(group_digits - 1 - i);
            const bool pads = at + i > bytes.size();
            to.push_back(pads ? padding : digits[group >> shift & 63]);
        }
    }
}

std::array<int8_t, 256> values_of_digits() {
    std::array<int8_t, 256> values{};
    values.fill(-1);
    for (size_t i = 0; i < digits.size(); ++i) values[static_cast<unsigned char>(digits[i])] = static_cast<int8_t>(i);
    return values;
}

std::optional<std::string> read_base64(std::string_view text) {
    static const auto values = values_of_digits();
    if (text.size() % group_digits != 0) return {};
    while (!text.empty() && text.back() == padding) text.remove_suffix(1);
    std::string bytes;
    bytes.reserve(text.size() / group_digits * group_bytes + group_bytes);
    uint32_t gathered = 0;
    int bits = 0;
    for (const char digit : text) {
        const auto value = values[static_cast<unsigned char>(digit)];
        if (value < 0) return {};
        gathered = gathered << bits_a_digit | static_cast<uint32_t>(value);
        bits += bits_a_digit;
        if (bits < bits_a_byte) continue;
        bits -= bits_a_byte;
        bytes.push_back(static_cast<char>(gathered >> bits));
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
    static const std::string none;
    return data_ ? data_->text : none;
}

const std::string& PackedText::packed() const {
    static const std::string none = "0:";
    if (!data_) return none;
    std::call_once(data_->is_packed, [this] {
        data_->packed = std::to_string(data_->text.size()) + length_end;
        append_base64(data_->packed, compressed(data_->text));
    });
    return data_->packed;
}

std::optional<PackedText> PackedText::unpack(std::string_view packed, size_t most) {
    size_t length = 0;
    const auto* end = packed.data() + packed.size();
    const auto read = std::from_chars(packed.data(), end, length);
    if (read.ec != std::errc{} || read.ptr == end || *read.ptr != length_end || length > most) return {};
    if (length == 0) return PackedText{};
    const auto bytes = read_base64(packed.substr(static_cast<size_t>(read.ptr - packed.data()) + 1));
    if (!bytes) return {};
    std::string text(length, '\0');
    uLongf got = length;
    const auto* from = reinterpret_cast<const Bytef*>(bytes->data());
    const bool sound = uncompress(reinterpret_cast<Bytef*>(text.data()), &got, from, bytes->size()) == Z_OK;
    if (!sound || got != length) return {};
    return PackedText(std::move(text));
}

}   // namespace myrtleroute
