#include <catch2/catch.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "balancer_harness.hpp"
#include "wire/discovery.hpp"
#include "wire/http.hpp"
#include "wire/json.hpp"
#include "wire/load_report.hpp"
#include "wire/reply.hpp"
#include "wire/ask.hpp"

using namespace myrtleroute;
using namespace myrtleroute::wire;
using Side = HttpParser::Side;

namespace {

// Feeds all of it in pieces of `step` bytes; what is past the end of the message comes back.
std::string feed(HttpParser& machine, std::string bytes, size_t step) {
    while (!bytes.empty() && !machine.done() && !machine.fault()) {
        const size_t n = machine.feed(std::string_view(bytes).substr(0, step));
        bytes.erase(0, n);
        if (n == 0) break;
    }
    return bytes;
}

const Settings& settings() {
    static const Settings s = SettingsReader(pairs("Products.0.Name=checkout\nProducts.1.Name=track")).decode();
    return s;
}

const std::string host = "Host: api.internal\r\n", id = "X-Request-ID: 9b1f\r\n",
                  product = "X-Priority-Class: checkout\r\n", fields = host + id + product,
                  posted = host + id + "X-Priority-Class: track\r\n";   // of a class that is not idempotent

}  // namespace

TEST_CASE("a request is read straight into its API call, in pieces of any size") {
    struct Case { std::string text, head, body; int product; double patience; };
    const auto c = GENERATE_COPY(
        Case{"GET /api?a=b%20c HTTP/1.1\r\n" + fields + "X-Timeout: 480m\r\n\r\n",
             "GET /api?a=b%20c HTTP/1.1\r\n" + fields, "", 0, 0.48},
        Case{"\r\nPOST /api HTTP/1.1\r\n" + host + "x-request-id: 7\r\nX-PRIORITY-CLASS:\ttrack \r\n"
             "X-Timeout: 2500u\r\nContent-Length: 5\r\nConnection: keep-alive\r\nX-Attrs: a=1\r\n\r\nhello",
             "POST /api HTTP/1.1\r\n" + host + "x-request-id: 7\r\nX-PRIORITY-CLASS: track\r\nX-Attrs: a=1\r\n",
             "hello", 1, 0.0025},
        Case{"POST / HTTP/1.1\r\n" + posted + "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\nA\r\n0123456789\r\n"
             "0\r\nTrailer: t\r\n\r\n", "POST / HTTP/1.1\r\n" + posted, "abc0123456789", 1, 4},
        Case{"POST / HTTP/1.1\r\n" + posted + "Content-Length: 0\r\n\r\n", "POST / HTTP/1.1\r\n" + posted, "", 1, 4},
        Case{"GET / HTTP/1.0\r\n" + id + product + "\r\n", "GET / HTTP/1.1\r\n" + id + product + "Host: api\r\n",
             "", 0, 4});
    for (const size_t step : {size_t{1}, size_t{2}, size_t{7}, c.text.size()}) {
        RequestReader reader(settings());
        HttpParser machine(Side::request, reader);
        CHECK_FALSE(machine.started());
        CHECK(feed(machine, c.text.substr(0, c.text.size() - 1), step).empty());
        CHECK_FALSE(machine.done());   // not before its last byte
        CHECK(feed(machine, c.text.substr(c.text.size() - 1) + "GET /next", step) == "GET /next");
        REQUIRE(machine.done());
        CHECK(machine.fault() == 0);
        CHECK(reader.ask().head == c.head);
        CHECK(reader.ask().body == c.body);
        CHECK(reader.ask().product == c.product);
        CHECK(reader.ask().patience.s == Approx(c.patience));
    }
}

TEST_CASE("figures told beside a call are read, and unsound ones count as not told") {
    struct Case { const char* attributes; double work; uint32_t tenant; uint64_t key = 0; };
    const auto c = GENERATE(Case{"EstimateS=0.25", 0.25, 0}, Case{"Object=1234567890123456789", 0, 0, 1234567890123456789},
                            Case{"Object=-1", 0, 0}, Case{"Object=x9,EstimateS=1", 1, 0},
                            Case{"Billing=1, EstimateS=0.5", 0.5, 1}, Case{"", 0, 0},
                            Case{"EstimateS=-1,Billing=-1", 0, 0}, Case{"EstimateS=nan,Billing=x", 0, 0},
                            Case{"EstimateS,=,Billing=70000", 0, 0}, Case{"Other=3,Billing=2", 0, 2}, Case{"EstimateS=1e300", 4, 0});
    const std::string text = "GET /api HTTP/1.1\r\n" + fields + "X-Attrs: " + c.attributes + "\r\n\r\n";
    RequestReader reader(settings());
    HttpParser machine(Side::request, reader);
    feed(machine, text, text.size());
    REQUIRE(machine.done());
    CHECK(machine.fault() == 0);
    CHECK(reader.ask().work.s == Approx(c.work));
    CHECK(reader.ask().tenant == c.tenant);
    CHECK(reader.ask().key == c.key);
}

TEST_CASE("malformed, oversized and ambiguous requests are refused") {
    struct Case { std::string text; int status; };
    const auto get = "GET /api HTTP/1.1\r\n" + fields, post = "POST /api HTTP/1.1\r\n" + posted;
    const auto c = GENERATE_COPY(
        Case{"nonsense\r\n", 400}, Case{"GET /api\r\n", 400}, Case{"GET  /api HTTP/1.1\r\n", 400},
        Case{"GET /api HTTP/2.0\r\n", 400}, Case{"GET /a b HTTP/1.1\r\n", 400}, Case{"GET api HTTP/1.1\r\n", 400},
        Case{"G(T /api HTTP/1.1\r\n", 400}, Case{"GET /api HTTP/1.1\n", 400}, Case{"\r\n\r\n", 400},
        Case{"DELETE /api HTTP/1.1\r\n", 405}, Case{get + "No colon\r\n", 400}, Case{get + "A : b\r\n", 400},
        Case{get + " folded: x\r\n", 400}, Case{get + "A: b\x01\r\n", 400}, Case{get + "A: b\rc\r\n", 400},
        Case{get + "A: b\n", 400}, Case{get + ": b\r\n", 400}, Case{get + host + "\r\n", 400},
        Case{"GET /api HTTP/1.1\r\n" + id + product + "\r\n", 400},
        Case{post + "Content-Length: 3\r\nContent-Length: 3\r\n", 400}, Case{post + "Content-Length: +3\r\n", 400},
        Case{post + "Content-Length: -3\r\n", 400}, Case{post + "Content-Length: 3, 3\r\n", 400},
        Case{post + "Content-Length: 99999999999999999999\r\n", 400}, Case{post + "Content-Length: 65537\r\n", 413},
        Case{post + "Transfer-Encoding: gzip, chunked\r\n", 400},
        Case{post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", 400},
        Case{post + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n", 400},
        Case{"POST /api HTTP/1.0\r\n" + posted + "Transfer-Encoding: chunked\r\n\r\n", 400},
        Case{post + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n", 400},
        Case{post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n", 400},
        Case{post + "Transfer-Encoding: chunked\r\n\r\n10001\r\n", 413}, Case{post + "Expect: cake\r\n", 417},
        Case{get + "A: " + std::string(9000, 'x'), 431}, Case{"GET /" + std::string(9000, 'x'), 431},
        Case{get + id + "\r\n", 400}, Case{get + product, 400}, Case{get + "X-Timeout: 5\r\n", 400},
        Case{get + "X-Timeout: 5s\r\n", 400}, Case{get + "X-Timeout: -5m\r\n", 400},
        Case{get + "X-Timeout: nanm\r\n", 400}, Case{get + "X-Timeout: 5m\r\nX-Timeout: 5m\r\n", 400},
        Case{"GET /api HTTP/1.1\r\n" + host + id + "X-Priority-Class: unheard\r\n", 400},
        Case{"GET /api HTTP/1.1\r\n" + host + id + "\r\n", 400},
        Case{"GET /api HTTP/1.1\r\n" + host + product + "X-Request-ID:\r\n", 400},
        Case{"GET /api HTTP/1.1\r\n" + host + product + "\r\n", 400});
    for (const size_t step : {size_t{1}, c.text.size()}) {
        RequestReader reader(settings());
        HttpParser machine(Side::request, reader);
        feed(machine, c.text, step);
        CHECK(machine.fault() == c.status);
        CHECK_FALSE(machine.done());
    }
    std::string many = get;   // each line is short, but there is no end of them
    while (many.size() < 40000) many += "A: b\r\n";
    RequestReader reader(settings());
    HttpParser machine(Side::request, reader);
    feed(machine, many, 4096);
    CHECK(machine.fault() == 431);
}

TEST_CASE("what is made of a server's answer") {
    struct Case { std::string text; bool closes; bool done; Outcome outcome; std::string body; bool keeps; };
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const auto full = "X-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
    const auto c = GENERATE_COPY(
        Case{ok + "Content-Length: 3\r\n\r\nabc", false, true, Outcome::fulfilled, "abc", true},
        Case{ok + "Content-Length: 3\r\nConnection: close\r\n\r\nabc", false, true, Outcome::fulfilled, "abc", false},
        Case{ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", false, true, Outcome::fulfilled,
             "abc", true},
        Case{"HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", false, true, Outcome::fulfilled, "", true},
        Case{"HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\nabc", false, true, Outcome::fulfilled, "abc", false},
        Case{"HTTP/1.0 200 OK\r\n\r\nabc", true, true, Outcome::fulfilled, "abc", false},   // it ends with its connection
        Case{ok + "\r\nabc", true, true, Outcome::fulfilled, "abc", false},
        Case{ok + "\r\n", true, true, Outcome::fulfilled, "", false},
        Case{"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\n\r\n", true, true, Outcome::full, "", false},
        Case{"HTTP/1.1 100 Continue\r\n\r\n" + ok + "Content-Length: 1\r\n\r\na", false, true, Outcome::fulfilled, "a",
             true},
        Case{"HTTP/1.1 204 No Content\r\n\r\n", false, true, Outcome::errored, "", true},
        Case{"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", false, true, Outcome::errored, "", true},
        Case{"HTTP/1.1 503 Full\r\n" + std::string(full), false, true, Outcome::full, "", true},
        Case{"HTTP/1.1 504 Over\r\n" + std::string(full), false, true, Outcome::full, "", true},
        Case{"HTTP/1.1 500 Oops\r\n" + std::string(full), false, true, Outcome::errored, "", true},
        Case{"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", false, true, Outcome::errored, "", true},
        Case{"HTTP/1.1 503 Full\r\nX-Not-Processed: 0\r\nContent-Length: 0\r\n\r\n", false, true, Outcome::errored, "",
             true},
        Case{"HTTP/1.1 429 Slow\r\nContent-Length: 0\r\n\r\n", false, true, Outcome::errored, "", true},
        Case{ok + "Content-Length: 4\r\n\r\nabc", true, false, {}, {}, {}},
        Case{ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nabc", true, false, {}, {}, {}},
        Case{ok + "Content-Length: 4", true, false, {}, {}, {}}, Case{"\x16\x03\x01", true, false, {}, {}, {}},
        Case{"HTTP/1.1 20 OK\r\n\r\n", true, false, {}, {}, {}},
        Case{"HTTP/1.1 101 Switching\r\n\r\n", true, false, {}, {}, {}},
        Case{ok + "Content-Length: 65537\r\n\r\n", false, false, {}, {}, {}},
        Case{ok + "\r\n" + std::string(65537, 'x'), false, false, {}, {}, {}});
    for (const size_t step : {size_t{1}, c.text.size()}) {
        ResponseReader reader;
        HttpParser machine(Side::response, reader);
        feed(machine, c.text, step);
        if (c.closes) machine.connection_closed();
        REQUIRE(machine.done() == c.done);
        if (!c.done) {
            CHECK(machine.fault() != 0);
            continue;
        }
        CHECK(reader.outcome() == c.outcome);
        CHECK(reader.text == c.body);
        CHECK(machine.keeps_alive() == c.keeps);
    }
}

TEST_CASE("an answer without a length is not whole before its connection has ended") {
    ResponseReader reader;
    HttpParser machine(Side::response, reader);
    feed(machine, "HTTP/1.1 200 OK\r\n\r\nabc", 1);
    CHECK_FALSE(machine.done());
    CHECK(machine.fault() == 0);
    feed(machine, "d", 1);
    machine.connection_closed();
    CHECK(machine.done());
    CHECK(reader.text == "abcd");
}

TEST_CASE("a machine goes on with the next message of its connection") {
    RequestReader reader(settings());
    HttpParser machine(Side::request, reader);
    std::string bytes = "POST /1 HTTP/1.1\r\n" + posted + "Content-Length: 2\r\n\r\nabGET /2 HTTP/1.1\r\n" + fields +
                        "Connection: close\r\n\r\n";
    bytes = feed(machine, bytes, bytes.size());
    CHECK((machine.keeps_alive() && reader.ask().body == "ab"));
    machine.next();
    reader.next();
    CHECK(feed(machine, bytes, 3).empty());
    CHECK((machine.done() && !machine.keeps_alive() && reader.ask().body.empty()));
    CHECK(reader.ask().head.substr(0, 6) == "GET /2");
}

TEST_CASE("JSON, in pieces of any size") {
    struct Trace : JsonHandler {
        std::string said;
        void opens(bool list) override { said += list ? "[" : "{"; }
        void closes(bool list) override { said += list ? "]" : "}"; }
        void key(std::string_view name) override { said.append(name).append(":"); }
        void value(Kind kind, std::string_view text) override {
            said.append(1, "tnbz"[static_cast<int>(kind)]).append("(").append(text).append(")");
        }
    };
    struct Case { std::string text, said; };   // said: empty where it is no JSON
    const auto c = GENERATE(
        Case{" {\"a\" : [1, -2.5e+3,\"x\"], \"b\":{}, \"c\":[] }\n", "{a:[n(1)n(-2.5e+3)t(x)]b:{}c:[]}"},
        Case{"[true,false,null]", "[b(true)b(false)z(null)]"}, Case{"7", "n(7)"},
        Case{R"("\"\\\/\n\u0041\u00e4\u20ac\ud83d\ude00")", "t(\"\\/\nA\xc3\xa4\xe2\x82\xac\xf0\x9f\x98\x80)"},
        Case{"", ""}, Case{"{", ""}, Case{"{\"a\"}", ""}, Case{"{\"a\":}", ""}, Case{"{\"a\":1,}", ""},
        Case{"[1,]", ""}, Case{"[1 2]", ""}, Case{"[1}", ""}, Case{"01", ""}, Case{"1.", ""}, Case{"-", ""},
        Case{"1e", ""}, Case{"nul", ""}, Case{"True", ""}, Case{"1 2", ""}, Case{"{} {}", ""}, Case{"\"\\x\"", ""},
        Case{"\"\\ud800\"", ""}, Case{"\"\\ud800\\n\"", ""}, Case{"\"\\udc00\"", ""}, Case{"\"\\u12g4\"", ""},
        Case{"\"a\nb\"", ""}, Case{"{1:2}", ""}, Case{std::string(40, '['), ""}, Case{std::string(40, '1'), ""});
    for (const size_t step : {size_t{1}, size_t{3}, c.text.size() + 1}) {
        Trace trace;
        JsonParser machine(trace);
        bool sound = true;
        for (size_t at = 0; at < c.text.size() && sound; at += step)
            sound = machine.feed(std::string_view(c.text).substr(at, step));
        CHECK((sound && machine.finish()) == !c.said.empty());
        if (!c.said.empty()) CHECK(trace.said == c.said);
    }
}

TEST_CASE("a list is told whole or not at all") {
    struct Told : ServerListSink {
        std::ostringstream said;
        void list_began(bool whole) override { said << (whole ? "whole" : "changes"); }
        void server(std::string_view uid, std::string_view endpoint, std::string_view zone, uint16_t cell,
                    std::string_view state, double size, double boot_ms) override {
            said << ' ' << uid << ',' << endpoint << ',' << zone << ',' << cell << ',' << state << ',' << size << ','
                 << boot_ms;
        }
        void list_ended() override { said << " end"; }
    };
    const std::string one = R"({"uid":"s-1","endpoint":"10.0.0.1:80","az":"a","model":"m","pod_group":3,)"
                            R"("state":"SERVING","capacity_hint":1.5,"boot_ms":25})";
    const std::string told = " s-1,10.0.0.1:80,a,3,SERVING,1.5,25";
    struct Case { std::string text, said, fault; };
    const auto list = [](const std::string& entries) { return R"({"rev":7,"all":true,"targets":[)" + entries + "]}"; };
    const auto c = GENERATE_COPY(
        Case{list(one), "whole" + told + " end", ""}, Case{list(""), "whole end", ""},
        Case{R"({"targets":[)" + one + R"(],"all":false,"new":{"x":[{}]},"rev":7})", "changes" + told + " end", ""},
        Case{list(R"({"uid":"b","state":"DELETED"})"), "whole b,,,0,DELETED,1,0 end", ""},
        Case{list(R"({"uid":"b","state":"DRAINING","endpoint":"1.2.3.4:5","more":[1,{"uid":2}],"az":null})"),
             "whole b,1.2.3.4:5,,0,DRAINING,1,0 end", ""},
        Case{list(one + R"(,{"state":"SERVING","endpoint":"1.2.3.4:5"})"), "", "uid"},
        Case{list(one + R"(,{"uid":"b","state":"SERVING"})"), "", "endpoint"},
        Case{list(R"({"uid":"b","state":"SERVING","endpoint":"1.2.3.4:99999"})"), "", "endpoint"},
        Case{list(R"({"uid":"b","state":"SERVING","endpoint":"1.2.3:5"})"), "", "endpoint"},
        Case{list(R"({"uid":"b","state":"serving","endpoint":"1.2.3.4:5"})"), "", "state"},
        Case{list(R"({"uid":5,"state":"SERVING","endpoint":"1.2.3.4:5"})"), "", "uid"},
        Case{list(R"({"uid":"b","state":"SERVING","endpoint":"1.2.3.4:5","pod_group":70000})"), "", "pod_group"},
        Case{list(R"({"uid":"b","state":"SERVING","endpoint":"1.2.3.4:5","capacity_hint":-1})"), "", "capacity_hint"},
        Case{list(R"({"uid":"b","state":"SERVING","endpoint":"1.2.3.4:5","boot_ms":"x"})"), "", "boot_ms"},
        Case{list("5"), "", "targets"}, Case{list("[]"), "", "targets"}, Case{list(one) + "x", "", ""},
        Case{R"({"rev":7,"all":true,"targets":{}})", "", "targets"}, Case{R"({"rev":7,"all":true})", "", "targets"},
        Case{R"({"rev":-7,"all":true,"targets":[]})", "", "rev"}, Case{R"({"all":true,"targets":[]})", "", "rev"},
        Case{R"({"rev":7,"all":1,"targets":[]})", "", "all"}, Case{R"({"rev":7,"targets":[]})", "", "all"},
        Case{"[]", "", "targets"}, Case{"", "", "rev"}, Case{"<html>", "", "rev"});
    Told sink;
    uint64_t rev = 1;
    CHECK(deliver_list(c.text, sink, rev) == !c.said.empty());
    CHECK(sink.said.str() == c.said);
    CHECK(rev == (c.said.empty() ? 1 : 7));
    if (c.fault.empty()) return;
    ServerListReader check;
    JsonParser machine(check);
    machine.feed(c.text);
    CHECK(check.fault() == c.fault);
}

TEST_CASE("a load report is read whole or not at all") {
    struct Case { std::string text, said; bool sound; };
    const auto c = GENERATE(Case{"TEXT inflight=7, queue=2, util=0.61", "inflight:7 queue:2 util:0.61 ", true},
                            Case{"TEXT queue = 2", "queue:2 ", true}, Case{"TEXT ", "", true},
                            Case{"inflight=7", "", false}, Case{"TEXT inflight=7, queue", "", false},
                            Case{"TEXT inflight=7, queue=x", "", false}, Case{"TEXT inflight=-7", "", false},
                            Case{"TEXT =7", "", false}, Case{"TEXT inflight=inf", "", false}, Case{"", "", false});
    std::ostringstream said;
    CHECK(read_load(c.text, [&](auto name, double value) { said << name << ':' << value << ' '; }) == c.sound);
    CHECK(said.str() == c.said);
}
