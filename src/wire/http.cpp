#include "wire/http.hpp"

#include <algorithm>

#include "wire/text.hpp"

namespace myrtleroute::wire {
namespace {

bool is_token(std::string_view s) {
    return !s.empty() && std::all_of(s.begin(), s.end(), [](char c) {
        return (c >= '0' && c <= '9') || (lower(c) >= 'a' && lower(c) <= 'z') ||
               std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
    });
}

bool is_printable(std::string_view s, bool spaces) {
    return std::all_of(s.begin(), s.end(), [spaces](char c) {
        const auto u = static_cast<unsigned char>(c);
        return (u > 0x20 && u != 0x7f) || (spaces && (c == ' ' || c == '\t'));
    });
}

}  // namespace

size_t HttpParser::feed(std::string_view bytes) {
    const size_t given = bytes.size();
    while (!bytes.empty() && !fault_ && state_ != State::done) {
        begun_ = true;
        size_t n = bytes.size();
        switch (state_) {
            case State::body: case State::chunk:
                n = std::min(n, body_left_);
                reader_->body(bytes.substr(0, n));
                body_left_ -= n;
                if (body_left_ == 0) state_ = state_ == State::body ? State::done : State::chunk_end;
                break;
            case State::until_close:
                body_read_ += n;
                if (body_read_ > limits_.body) fail(413);
                else reader_->body(bytes);
                break;
            default: {
                const auto end = bytes.find('\n');
                n = end == bytes.npos ? n : end + 1;
                line_.append(bytes.substr(0, n));
                head_size_ += n;
                if (line_.size() > limits_.line || head_size_ > limits_.head) fail(431);
                else if (end != bytes.npos) {
                    const auto text = std::move(line_);
                    line_.clear();
                    // Parsers disagree on lines that end with a bare line feed.
                    if (text.size() < 2 || text[text.size() - 2] != '\r') fail(400);
                    else line(std::string_view(text).substr(0, text.size() - 2));
                }
            }
        }
        bytes.remove_prefix(n);
    }
    return given - bytes.size();
}

void HttpParser::connection_closed() {
    if (state_ == State::until_close) state_ = State::done;
    else if (begun_ && state_ != State::done) fail(400);
}

void HttpParser::reset() { *this = HttpParser(side_, *reader_, limits_); }

void HttpParser::line(std::string_view text) {
    switch (state_) {
        case State::start:
            if (text.empty() && side_ == Side::request && head_size_ == 2) return;   // allowed once before a request
            return start_line(text);
        case State::fields: return text.empty() ? head_ended() : field_line(text);
        case State::chunk_size: return chunk_size(text);
        case State::chunk_end:
            if (!text.empty()) return fail(400);
            state_ = State::chunk_size;
            return;
        case State::trailer:
            if (text.empty()) state_ = State::done;
            return;
        default: return;
    }
}

void HttpParser::start_line(std::string_view text) {
    const auto one = text.find(' ');
    if (one == text.npos) return fail(400);
    auto two = text.find(' ', one + 1);
    if (two == text.npos && side_ == Side::response) two = text.size();   // the reason phrase may be missing
    if (two == text.npos) return fail(400);
    const auto first = text.substr(0, one), second = text.substr(one + 1, two - one - 1);
    const auto third = two < text.size() ? text.substr(two + 1) : std::string_view{};
    const auto version = side_ == Side::request ? third : first;
    if (version != "HTTP/1.1" && version != "HTTP/1.0") return fail(400);
    http_1_0_ = version == "HTTP/1.0";
    keep_alive_ = !http_1_0_;
    if (side_ == Side::request) {
        if (!is_token(first) || second.empty() || second.front() != '/' || !is_printable(second, false))
            return fail(400);
    } else {
        status_ = parse_integer<int>(second).value_or(0);
        if (second.size() != 3 || status_ < 100) return fail(400);
    }
    state_ = State::fields;
    if (const int fault = reader_->start(first, second, third)) fail(fault);
}

void HttpParser::field_line(std::string_view text) {
    const auto colon = text.find(':');
    if (colon == text.npos) return fail(400);
    const auto name = text.substr(0, colon), value = trim(text.substr(colon + 1));
    if (!is_token(name) || !is_printable(value, true)) return fail(400);   // rejects folded lines, too
    if (equals_ignore_case(name, "Content-Length")) {
        const auto length = parse_integer<uint64_t>(value);
        if (!length || has_length_) return fail(400);
        has_length_ = true;
        if (*length > limits_.body) return fail(413);
        body_left_ = static_cast<size_t>(*length);
    } else if (equals_ignore_case(name, "Transfer-Encoding")) {
        if (chunked_ || !equals_ignore_case(value, "chunked")) return fail(400);
        chunked_ = true;
    } else if (equals_ignore_case(name, "Connection")) {
        for (auto rest = value; !rest.empty();) {
            const auto part = next_item(rest);
            if (equals_ignore_case(part, "close")) keep_alive_ = false;
            if (equals_ignore_case(part, "keep-alive") && http_1_0_) keep_alive_ = true;
        }
    } else if (equals_ignore_case(name, "Host")) {
        ++host_fields_;
    } else if (equals_ignore_case(name, "Expect") && side_ == Side::request) {
        if (!equals_ignore_case(value, "100-continue")) return fail(417);
        continue_ = true;
    }
    if (const int fault = reader_->field(name, value)) fail(fault);
}

void HttpParser::head_ended() {
    if (side_ == Side::request && host_fields_ != 1 && !(http_1_0_ && host_fields_ == 0)) return fail(400);
    // With two lengths, or one that an HTTP/1.0 parser ignores, parsers disagree on where the message ends.
    if (chunked_ && (has_length_ || http_1_0_)) return fail(400);
    if (side_ == Side::response && status_ < 200) {
        if (status_ == 101) return fail(400);
        const auto head = head_size_;
        reset();
        head_size_ = head;   // interim responses count towards the limit, so that their number is bounded
        begun_ = false;
        return;
    }
    const auto body = chunked_ || body_left_ ? HttpHandler::Body::some
                      : has_length_     ? HttpHandler::Body::none : HttpHandler::Body::unspecified;
    if (const int fault = reader_->head_ended(body)) return fail(fault);
    const bool bare = side_ == Side::response && (status_ == 204 || status_ == 304);
    if (bare) state_ = State::done;
    else if (chunked_) state_ = State::chunk_size;
    else if (has_length_ || side_ == Side::request) state_ = body_left_ ? State::body : State::done;
    else state_ = State::until_close, until_close_ = true, keep_alive_ = false;   // a response that ends with its connection (RFC 9112, 6.3)
}

void HttpParser::chunk_size(std::string_view text) {
    const auto size = parse_integer<uint32_t>(trim(text.substr(0, text.find(';'))), 16);
    if (!size) return fail(400);
    body_read_ += *size;
    if (body_read_ > limits_.body) return fail(413);
    body_left_ = *size;
    head_size_ = 0;   // the limit holds for the lines of each chunk
    state_ = body_left_ ? State::chunk : State::trailer;
}

}  // namespace myrtleroute::wire
