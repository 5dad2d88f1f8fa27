#include "wire/json.hpp"

#include <cstdint>

namespace myrtleroute::wire {
namespace {

constexpr size_t most_depth = 32, most_text = 64 * 1024;

bool space(char c) { return c == ' ' || c == '\t' || c == '\n' || c == '\r'; }
bool digit(char c) { return c >= '0' && c <= '9'; }

bool sound_number(std::string_view s) {
    size_t i = 0;
    const auto digits = [&] {
        const size_t from = i;
        while (i < s.size() && digit(s[i])) ++i;
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
        take(c);
        if (state_ == State::broken) return false;
    }
    return true;
}

bool JsonParser::finish() {
    if (state_ == State::bare) ends_bare();
    return state_ == State::over;
}

void JsonParser::take(char c) {
    switch (state_) {
        case State::bare:
            if (!space(c) && c != ',' && c != ']' && c != '}') {
                text_ += c;
                if (text_.size() > most_depth) state_ = State::broken;   // no number or word is as long
                return;
            }
            if (!ends_bare()) return;
            return take(c);
        case State::text:
            if (c == '"' && !high_) return ends_text();
            if (c == '\\') {
                state_ = State::escape;
                return;
            }
            if (high_ || static_cast<unsigned char>(c) < 0x20 || text_.size() >= most_text)
                state_ = State::broken;
            else text_ += c;
            return;
        case State::escape: {
            static constexpr std::string_view codes = "\"\\/bfnrt", meant = "\"\\/\b\f\n\r\t";
            if (c == 'u') {
                state_ = State::hex;
                rune_ = 0;
                digits_ = 0;
                return;
            }
            const auto at = codes.find(c);
            state_ = at == codes.npos || high_ ? State::broken : State::text;
            if (state_ == State::text) text_ += meant[at];
            return;
        }
        case State::hex: return hex_digit(c);
        default: break;
    }
    if (space(c)) return;
    switch (state_) {
        case State::value_or_end:
            if (c == ']') return close(true);
            [[fallthrough]];
        case State::value:
            if (c == '{' || c == '[') return open(c == '[');
            text_.clear();
            is_key_ = false;
            state_ = c == '"' ? State::text : State::bare;
            if (c != '"') text_ += c;
            return;
        case State::key_or_end:
            if (c == '}') return close(false);
            [[fallthrough]];
        case State::key:
            text_.clear();
            is_key_ = true;
            state_ = c == '"' ? State::text : State::broken;
            return;
        case State::colon:
            state_ = c == ':' ? State::value : State::broken;
            return;
        case State::comma_or_end:
            if (c == ',') state_ = lists_.back() ? State::value : State::key;
            else if (c == (lists_.back() ? ']' : '}')) close(lists_.back());
            else state_ = State::broken;
            return;
        default: state_ = State::broken;
    }
}

void JsonParser::ends_value() { state_ = lists_.empty() ? State::over : State::comma_or_end; }

bool JsonParser::ends_bare() {
    using Kind = JsonHandler::Kind;
    const bool truth = text_ == "true" || text_ == "false", null = text_ == "null";
    if (!truth && !null && !sound_number(text_)) {
        state_ = State::broken;
        return false;
    }
    ends_value();
    reader_.value(truth ? Kind::truth : null ? Kind::null : Kind::number, text_);
    return true;
}

void JsonParser::ends_text() {
    if (is_key_) {
        state_ = State::colon;
        return reader_.key(text_);
    }
    ends_value();
    reader_.value(JsonHandler::Kind::text, text_);
}

void JsonParser::open(bool list) {
    if (lists_.size() == most_depth) {
        state_ = State::broken;
        return;
    }
    lists_.push_back(list);
    state_ = list ? State::value_or_end : State::key_or_end;
    reader_.opens(list);
}

void JsonParser::close(bool list) {
    lists_.pop_back();
    ends_value();
    reader_.closes(list);
}

void JsonParser::hex_digit(char c) {
    const char low = c >= 'A' && c <= 'F' ? static_cast<char>(c + 32) : c;
    if (!digit(low) && !(low >= 'a' && low <= 'f')) {
        state_ = State::broken;
        return;
    }
    rune_ = rune_ * 16 + static_cast<unsigned>(digit(low) ? low - '0' : low - 'a' + 10);
    if (++digits_ < 4) return;
    state_ = State::text;
    const bool high = rune_ >= 0xd800 && rune_ < 0xdc00, low_half = rune_ >= 0xdc00 && rune_ < 0xe000;
    if ((high_ != 0) != low_half) {
        state_ = State::broken;   // half of a pair
    } else if (high) {
        high_ = rune_;
    } else {
        add_rune(high_ ? 0x10000 + ((high_ - 0xd800) << 10) + (rune_ - 0xdc00) : rune_);
        high_ = 0;
    }
}

void JsonParser::add_rune(unsigned rune) {
    const auto add = [this](unsigned byte) { text_ += static_cast<char>(byte); };
    if (rune < 0x80) return add(rune);
    if (rune < 0x800) {
        add(0xc0 | rune >> 6);
    } else {
        if (rune < 0x10000) add(0xe0 | rune >> 12);
        else add(0xf0 | rune >> 18), add(0x80 | (rune >> 12 & 63));
        add(0x80 | (rune >> 6 & 63));
    }
    add(0x80 | (rune & 63));
}

}  // namespace myrtleroute::wire
