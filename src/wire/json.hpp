// JSON as a state machine that is fed bytes; what it reads goes to a reader piece by piece.
#pragma once
#include <string>
#include <string_view>
#include <vector>

namespace myrtleroute::wire {

class JsonHandler {
public:
    enum class Kind { text, number, truth, null };
    virtual ~JsonHandler() = default;
    virtual void opens(bool list) = 0;    // an object, or a list
    virtual void closes(bool list) = 0;
    virtual void key(std::string_view name) = 0;
    virtual void value(Kind kind, std::string_view text) = 0;   // numbers, true, false and null as written
};

class JsonParser {
public:
    explicit JsonParser(JsonHandler& reader) : reader_(reader) {}
    bool feed(std::string_view bytes);   // false: this is no JSON
    bool finish();                       // whether exactly one value was read

private:
    enum class State { value, value_or_end, key, key_or_end, colon, comma_or_end, text, escape, hex, bare,
                       over, broken };
    void take(char c);
    void ends_value();
    bool ends_bare();
    void ends_text();
    void open(bool list);
    void close(bool list);
    void hex_digit(char c);
    void add_rune(unsigned rune);

    JsonHandler& reader_;
    State state_ = State::value;
    std::vector<bool> lists_;   // what is open: a list, or an object
    std::string text_;
    bool is_key_ = false;
    unsigned rune_ = 0, high_ = 0;
    int digits_ = 0;
};

}  // namespace myrtleroute::wire
