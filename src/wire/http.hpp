// HTTP/1.1 messages of either side, as a state machine that is fed bytes and knows no socket.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

namespace myrtleroute::wire {

constexpr size_t max_body = 64 * 1024;

// What a message may take at most, in bytes.
struct HttpLimits {
    size_t line = 8 * 1024, head = 32 * 1024, body = max_body;
};

// Takes what the machine has read. Where a status comes back it is the fault to answer with, 0 = none.
class HttpHandler {
public:
    virtual ~HttpHandler() = default;
    // method, target and version; of an answer: version, status and reason
    virtual int start(std::string_view first, std::string_view second, std::string_view third) = 0;
    virtual int field(std::string_view name, std::string_view value) = 0;
    enum class Body { unspecified, none, some };   // what the head says of it
    virtual int head_ended(Body) { return 0; }
    virtual void body(std::string_view bytes) = 0;
};

class HttpParser {
public:
    enum class Side { request, response };
    HttpParser(Side side, HttpHandler& reader, HttpLimits limits = {})
        : side_(side), reader_(&reader), limits_(limits) {}

    size_t feed(std::string_view bytes);   // how many were taken; none past the end of the message
    void connection_closed();                         // the other end sends no more; a reset is no such end
    void next();                           // for the next message of the connection

    bool started() const { return begun_; }
    bool done() const { return state_ == State::done; }
    int fault() const { return fault_; }   // an HTTP status; 0 = none
    bool keeps_alive() const { return keeps_; }  // whether the connection may carry another message
    bool expects_continue() const {          // the client holds its body back until it is told to go on
        return continue_ && (state_ == State::body || state_ == State::chunk_size);
    }
    void continue_sent() { continue_ = false; }

private:
    enum class State { start, fields, body, chunk_size, chunk, chunk_end, trailer, to_end, done };
    void fail(int status) { if (!fault_) fault_ = status; }
    void line(std::string_view text);
    void start_line(std::string_view text);
    void field_line(std::string_view text);
    void head_ended();
    void chunk_size(std::string_view text);

    Side side_;
    HttpHandler* reader_;
    HttpLimits limits_;
    State state_ = State::start;
    std::string line_;
    size_t head_ = 0, left_ = 0, taken_ = 0;
    bool begun_ = false, keeps_ = true, continue_ = false;
    bool has_length_ = false, chunked_ = false, old_ = false;
    int hosts_ = 0, status_ = 0, fault_ = 0;
};

}  // namespace myrtleroute::wire
