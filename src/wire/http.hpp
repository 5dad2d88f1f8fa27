// Incremental parser for HTTP/1.1 requests and responses. It is fed bytes and does no input or output.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

namespace myrtleroute::wire {

constexpr size_t max_body = 64 * 1024;

// Upper bounds of a message, in bytes.
struct HttpLimits {
    size_t line = 8 * 1024, head = 32 * 1024, body = max_body;
};

// Receives the parts of a message. Functions that return a status reject the message with it; 0 accepts.
class HttpHandler {
public:
    virtual ~HttpHandler() = default;
    // Request: method, target and version. Response: version, status and reason.
    virtual int start(std::string_view first, std::string_view second, std::string_view third) = 0;
    virtual int field(std::string_view name, std::string_view value) = 0;
    enum class Body { unspecified, none, some };   // the body according to the head
    virtual int head_ended(Body) { return 0; }
    virtual void body(std::string_view bytes) = 0;
};

class HttpParser {
public:
    enum class Side { request, response };
    HttpParser(Side side, HttpHandler& reader, HttpLimits limits = {})
        : side_(side), reader_(&reader), limits_(limits) {}

    size_t feed(std::string_view bytes);   // returns the bytes consumed; never past the end of the message
    void connection_closed();              // the peer has ended its stream in order; not for a reset
    void reset();                          // before the next message of the connection

    bool started() const { return begun_; }
    bool done() const { return state_ == State::done; }
    int fault() const { return fault_; }   // the HTTP status for a malformed message; 0 = none
    bool ends_with_connection() const { return until_close_; }   // the message has neither a length nor chunks
    bool keeps_alive() const { return keep_alive_; }   // whether the connection may carry another message
    bool expects_continue() const {      // the client waits for 100 Continue before it sends its body
        return continue_ && (state_ == State::body || state_ == State::chunk_size);
    }
    void continue_sent() { continue_ = false; }

private:
    enum class State { start, fields, body, chunk_size, chunk, chunk_end, trailer, until_close, done };
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
    size_t head_size_ = 0, body_left_ = 0, body_read_ = 0;
    bool begun_ = false, keep_alive_ = true, continue_ = false;
    bool has_length_ = false, chunked_ = false, http_1_0_ = false, until_close_ = false;
    int host_fields_ = 0, status_ = 0, fault_ = 0;
};

}  // namespace myrtleroute::wire
