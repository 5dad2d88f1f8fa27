#include "wire/json.hpp"

#include <cstdint>

namespace myrtleroute::wire {
namespace {

constexpr size_t max_depth = 32, max_text = 64 * 1024;

bool is_space(char c) { return c == ' ' || c == '\t' || c == '\n' || c == '\r'; }
bool is_digit(char c) { return c >= '0' && c <= '9'; }

bool is_number(std::string_view s) {
    size_t i = 0;
    const auto digits = [&] {
        const size_t from = i;
        while (i < s.size() && is_digit(s[i])) ++i;
        return i > from;
    };
    if (i < s.size() && s[i] == '-') ++i;
    const size_t first = i;
    if (!digits() || (s[first] == '0' && i > first + 1)) return false;
    if (i < s.size() && s[i] == '.' && (++i, !digits())) return false;
    if (i < s.size() && (s[i] == 'e' || s[i] == 'E')) {
        ++i;
        if (i < s.size() && (s[i] == '+' || s[i] == '-')) ++i;
        if (!digits()) return false;
    }
    return i == s.size();
}

}  // namespace

bool JsonParser::feed(std::string_view bytes) {
    for (const char c : bytes) {
        consume(c);
        if (state_ == State::invalid) return false;
    }
    return true;
}

bool JsonParser::finish() {
    if (state_ == State::literal) literal_ended();
    return state_ == State::done;
}

void JsonParser::consume(char c) {
    switch (state_) {
        case State::literal:
            if (!is_space(c) && c != ',' && c != ']' && c != '}') {
                text_ += c;
                if (text_.size() > max_depth) state_ = State::invalid;   // longer than any valid literal
                return;
            }
            if (!literal_ended()) return;
            return consume(c);
        case State::text:
            if (c == '"' && !high_surrogate_) return text_ended();
            if (c == '\\') {
                state_ = State::escape;
                return;
            }
            if (high_surrogate_ || static_cast<unsigned char>(c) < 0x20 || text_.size() >= max_text)
                state_ = State::invalid;
            else text_ += c;
            return;
        case State::escape: {
            static constexpr std::string_view codes = "\"\\/bfnrt", meant = "\"\\/\b\f\n\r\t";
            if (c == 'u') {
                state_ = State::hex;
                unit_ = 0;
                hex_digits_ = 0;
                return;
            }
            const auto at = codes.find(c);
            state_ = at == codes.npos || high_surrogate_ ? State::invalid : State::text;
            if (state_ == State::text) text_ += meant[at];
            return;
        }
        case State::hex: return hex_digit(c);
        default: break;
    }
    if (is_space(c)) return;
    switch (state_) {
        case State::value_or_end:
            if (c == ']') return close(true);
            [[fallthrough]];
        case State::value:
            if (c == '{' || c == '[') return open(c == '[');
            text_.clear();
            is_key_ = false;
            state_ = c == '"' ? State::text : State::literal;
            if (c != '"') text_ += c;
            return;
        case State::key_or_end:
            if (c == '}') return close(false);
            [[fallthrough]];
        case State::key:
            text_.clear();
            is_key_ = true;
            state_ = c == '"' ? State::text : State::invalid;
            return;
        case State::colon:
            state_ = c == ':' ? State::value : State::invalid;
            return;
        case State::comma_or_end:
            if (c == ',') state_ = lists_.back() ? State::value : State::key;
            else if (c == (lists_.back() ? ']' : '}')) close(lists_.back());
            else state_ = State::invalid;
            return;
        default: state_ = State::invalid;
    }
}

void JsonParser::value_ended() { state_ = lists_.empty() ? State::done : State::comma_or_end; }

bool JsonParser::literal_ended() {
    using Kind = JsonHandler::Kind;
    const bool boolean = text_ == "true" || text_ == "false", null = text_ == "null";
    if (!boolean && !null && !is_number(text_)) {
        state_ = State::invalid;
        return false;
    }
    value_ended();
    handler_.on_value(boolean ? Kind::boolean : null ? Kind::null : Kind::number, text_);
    return true;
}

void JsonParser::text_ended() {
    if (is_key_) {
        state_ = State::colon;
        return handler_.on_key(text_);
    }
    value_ended();
    handler_.on_value(JsonHandler::Kind::text, text_);
}

void JsonParser::open(bool list) {
    if (lists_.size() == max_depth) {
        state_ = State::invalid;
        return;
    }
    lists_.push_back(list);
    state_ = list ? State::value_or_end : State::key_or_end;
    handler_.on_open(list);
}

void JsonParser::close(bool list) {
    lists_.pop_back();
    value_ended();
    handler_.on_close(list);
}

void JsonParser::hex_digit(char c) {
    const char low = c >= 'A' && c <= 'F' ? static_cast<char>(c + 32) : c;
    if (!is_digit(low) && !(low >= 'a' && low <= 'f')) {
        state_ = State::invalid;
        return;
    }
    unit_ = unit_ * 16 + static_cast<unsigned>(is_digit(low) ? low - '0' : low - 'a' + 10);
    if (++hex_digits_ < 4) return;
    state_ = State::text;
    const bool high = unit_ >= 0xd800 && unit_ < 0xdc00, low_half = unit_ >= 0xdc00 && unit_ < 0xe000;
    if ((high_surrogate_ != 0) != low_half) {
        state_ = State::invalid;   // unpaired surrogate
    } else if (high) {
        high_surrogate_ = unit_;
    } else {
        append_code_point(high_surrogate_ ? 0x10000 + ((high_surrogate_ - 0xd800) << 10) + (unit_ - 0xdc00) : unit_);
        high_surrogate_ = 0;
    }
}

void JsonParser::append_code_point(unsigned code_point) {
    const auto add = [this](unsigned byte) { text_ += static_cast<char>(byte); };
    if (code_point < 0x80) return add(code_point);
    if (code_point < 0x800) {
        add(0xc0 | code_point >> 6);
    } else {
        if (code_point < 0x10000) add(0xe0 | code_point >> 12);
        else add(0xf0 | code_point >> 18), add(0x80 | (code_point >> 12 & 63));
        add(0x80 | (code_point >> 6 & 63));
    }
    add(0x80 | (code_point & 63));
}

}  // namespace myrtleroute::wire
