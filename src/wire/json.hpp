// Incremental JSON parser. It is fed bytes and passes what it reads to a handler.
#pragma once
#include <string>
#include <string_view>
#include <vector>

namespace myrtleroute::wire {

class JsonHandler {
public:
    enum class Kind { text, number, boolean, null };
    virtual ~JsonHandler() = default;
    virtual void on_open(bool list) = 0;    // an object or a list begins
    virtual void on_close(bool list) = 0;
    virtual void on_key(std::string_view name) = 0;
    virtual void on_value(Kind kind, std::string_view text) = 0;   // literals as written
};

class JsonParser {
public:
    explicit JsonParser(JsonHandler& handler) : handler_(handler) {}
    bool feed(std::string_view bytes);   // false: malformed
    bool finish();                       // whether exactly one value was read

private:
    enum class State { value, value_or_end, key, key_or_end, colon, comma_or_end, text, escape, hex, literal,
                       done, invalid };
    void consume(char c);
    void value_ended();
    bool literal_ended();
    void text_ended();
    void open(bool list);
    void close(bool list);
    void hex_digit(char c);
    void append_code_point(unsigned code_point);

    JsonHandler& handler_;
    State state_ = State::value;
    std::vector<bool> lists_;   // the open containers: true = list, false = object
    std::string text_;
    bool is_key_ = false;
    unsigned unit_ = 0, high_surrogate_ = 0;   // UTF-16 code units of \u escapes
    int hex_digits_ = 0;
};

}  // namespace myrtleroute::wire
