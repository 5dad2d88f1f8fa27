// Changes of a configuration by named items, compared with a plain model; and orders of both kinds at a control node.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "configuration/patch.hpp"
#include "control_node.hpp"
#include "lab/control/patch_model.hpp"
#include "random.hpp"

using namespace myrtleroute;
using configuration::apply_patch;
using configuration::Patched;
using nlohmann::json;
using testing::Control;

namespace {

json route(const std::string& name, const std::string& prefix, const std::string& service) {
    return {{"name", name}, {"hostname", "h"}, {"pathPrefix", prefix}, {"timeoutMs", 1000}, {"service", service}};
}

json tenant(const std::string& name, const std::string& key) { return {{"name", name}, {"apiKeys", {key}}}; }

json base_document() {
    return {{"version", 7},
            {"routes", {route("r1", "/a/", "s1"), route("r2", "/b/", "s2")}},
            {"services", {{{"name", "s1"}, {"engine", {{"capacity", 4}}}}, {{"name", "s2"}}}},
            {"limits", {{"maxBodyBytes", 4096}}},
            {"tenants", {tenant("t1", "k1"), tenant("t2", "k2")}}};
}

json applied(const json& current, const json& patch) {
    const auto checked = apply_patch(current.is_null() ? "" : current.dump(), patch.dump());
    const auto* result = std::get_if<Patched>(&checked);
    REQUIRE(result);
    CHECK(result->version == patch.at("version"));
    return json::parse(result->document);
}

std::string places(const json& patch) {
    const auto checked = apply_patch(base_document().dump(), patch.dump());
    const auto* findings = std::get_if<Findings>(&checked);
    if (!findings) return {};
    std::string all;
    for (const auto& finding : *findings) all += (all.empty() ? "" : " ") + finding.location;
    return all;
}

std::string any_of(Pcg& chance, const char* letter, uint32_t most) {
    return letter + std::to_string(static_cast<uint32_t>(chance.uniform() * most));
}

json random_item(Pcg& chance, const std::string& list) {
    if (list == "services")
        return {{"name", any_of(chance, "s", 4)}, {"maxConnections", static_cast<int>(chance.uniform() * 9)}};
    if (list == "tenants") return tenant(any_of(chance, "t", 5), any_of(chance, "k", 8));
    auto item = route(any_of(chance, "r", 6), "/" + any_of(chance, "p", 9) + "/", any_of(chance, "s", 4));
    if (chance.uniform() < 0.03) item["timeoutMs"] = 0;
    return item;
}

json random_patch(Pcg& chance, uint64_t version) {
    json patch{{"version", version}};
    for (const std::string list : {"routes", "services", "tenants"}) {
        while (chance.uniform() < 0.45) patch["upsert"][list].push_back(random_item(chance, list));
        while (chance.uniform() < 0.2) patch["delete"][list].push_back(any_of(chance, list.substr(0, 1).c_str(), 5));
    }
    return patch;
}

}   // namespace

TEST_CASE("an item takes the place of the one with its name, a new one comes last, and the rest stays as it is") {
    const json patch{{"version", 9},
                     {"upsert", {{"routes", {route("r1", "/c/", "s2"), route("r3", "/a/", "s1")}}}},
                     {"delete", {{"tenants", {"t1"}}}}};
    auto expected = base_document();
    expected["version"] = 9;
    expected["routes"] = {route("r1", "/c/", "s2"), route("r2", "/b/", "s2"), route("r3", "/a/", "s1")};
    expected["tenants"] = json::array({tenant("t2", "k2")});
    CHECK(applied(base_document(), patch) == expected);
}

TEST_CASE("a patch may build on nothing, name nothing, or bring the first items of a list") {
    const json whole{{"version", 1},
                     {"upsert", {{"services", {{{"name", "s1"}}}}, {"routes", {route("r1", "/a/", "s1")}}}}};
    const auto first = applied(json(), whole);
    CHECK(first["routes"].size() == 1);
    auto later = first;
    later["version"] = 2;
    CHECK(applied(first, {{"version", 2}}) == later);
    CHECK(applied(first, {{"version", 2}, {"upsert", {{"tenants", {tenant("t1", "k1")}}}}})["tenants"].size() == 1);
}

TEST_CASE("what is wrong with a patch is told with its place there") {
    const auto upsert = [](const std::string& list, json items) {
        return json{{"version", 9}, {"upsert", {{list, std::move(items)}}}};
    };
    const auto remove = [](const std::string& list, json names) {
        return json{{"version", 9}, {"delete", {{list, std::move(names)}}}};
    };
    CHECK(places(upsert("routes", {route("r3", "/c/", "s9")})) == "/upsert/routes/0");
    CHECK(places(upsert("routes", {route("r3", "/d/", "s1"), route("r4", "/b/", "s1")})) ==
          "/upsert/routes/1/pathPrefix");
    auto weightless = route("r3", "/c/", "s1");
    weightless["backends"] = json::array({{{"service", "s1"}, {"weight", 0}}});
    CHECK(places(upsert("routes", {weightless})) == "/upsert/routes/0/backends");
    auto endless = route("r1", "/a/", "s1");
    endless["timeoutMs"] = 0;
    CHECK(places(upsert("routes", {endless})) == "/upsert/routes/0/timeoutMs");
    CHECK(places(upsert("tenants", {tenant("t3", "k1")})) == "/upsert/tenants/0/apiKeys");
    CHECK(places(upsert("routes", {{{"name", "r3"}}})) == "/upsert/routes/0");
    auto nameless = route("", "/c/", "s1");
    nameless.erase("name");
    CHECK(places(upsert("routes", {nameless})) == "/upsert/routes/0/name");
    CHECK(places(upsert("tenants", {tenant("t3", "k3"), tenant("t3", "k4")})) == "/upsert/tenants/1/name");
    CHECK(places(upsert("models", json::array())) == "/upsert/models");
    CHECK(places(remove("routes", {"r1", "r9"})) == "/delete/routes/1");
    CHECK(places(remove("routes", {"r1", "r1"})) == "/delete/routes/1");
    CHECK(places(remove("services", {"s2"})) == "/routes/1");   // a route that stays names it
    CHECK(
        places({{"version", 9}, {"upsert", {{"tenants", {tenant("t1", "k9")}}}}, {"delete", {{"tenants", {"t1"}}}}}) ==
        "/upsert/tenants/0/name");
    CHECK(places({{"upsert", json::object()}}) == "/");
    const auto cut_short = apply_patch(base_document().dump(), R"({"version":9,"upsert":{"rou)");
    REQUIRE(cut_short.index() == 1);
    CHECK(std::get<Findings>(cut_short).front().location.starts_with("byte "));
}

TEST_CASE("a name that several items of the configuration have stands for none of them") {
    auto twice = base_document();
    twice["routes"].push_back(route("r1", "/z/", "s1"));
    for (const json patch : {json{{"version", 9}, {"upsert", {{"routes", {route("r1", "/y/", "s1")}}}}},
                             json{{"version", 9}, {"delete", {{"routes", {"r1"}}}}}})
        CHECK(apply_patch(twice.dump(), patch.dump()).index() == 1);
}

TEST_CASE("random patches do what a plain model does") {
    Pcg chance(76);
    size_t taken = 0;
    for (int day = 0; day < 60; ++day) {
        auto document = base_document();
        for (uint64_t version = 8; version < 60; ++version) {
            const auto patch = random_patch(chance, version);
            const auto expected = lab::control::patched(document, patch);
            const auto checked = apply_patch(document.dump(), patch.dump());
            CAPTURE(document.dump());
            CAPTURE(patch.dump());
            REQUIRE((checked.index() == 0) == expected.has_value());
            if (!expected) continue;
            REQUIRE(json::parse(std::get<Patched>(checked).document) == *expected);
            document = *expected;
            ++taken;
        }
    }
    CHECK(taken > 500);
}

// At a control node.

TEST_CASE("a patch is taken under the terms of a whole configuration, and read back whole") {
    Control control;
    control.subscribe();
    REQUIRE(control.status(control.request("PUT", "/config", "0", base_document().dump())) == 200);
    const json patch{{"version", 9}, {"delete", {{"routes", {"r2"}}}}};
    CHECK(control.status(control.request("PATCH", "/config", "", patch.dump())) == 428);
    CHECK(control.status(control.request("PATCH", "/config", "6", patch.dump())) == 412);
    CHECK(control.status(control.request("PATCH", "/config", "7", patch.dump())) == 200);
    CHECK(control.sent_configuration() == 9);
    const auto whole = json::parse(control.body(control.request("GET", "/config")));
    CHECK(whole == *lab::control::patched(base_document(), patch));
    CHECK(control.status(control.request("PATCH", "/config", "7", patch.dump())) == 200);   // sent again
    CHECK(control.status(control.request("PATCH", "/config", "9", R"({"version":9})")) == 400);
    CHECK(control.status(control.request("PATCH", "/config", "9", R"({"version":10,"upsert":)")) == 400);
    const auto refused = control.request("PATCH", "/config", "9", R"({"version":10,"delete":{"services":["s1"]}})");
    CHECK(control.status(refused) == 400);
    CHECK(control.body(refused).find("/routes/0") != std::string::npos);
    CHECK(json::parse(control.body(control.request("GET", "/config"))) == whole);
}

TEST_CASE("what was taken as a patch is not taken for a whole configuration of the same bytes") {
    Control control;
    REQUIRE(control.status(control.request("PUT", "/config", "0", base_document().dump())) == 200);
    const std::string bytes = R"({"version":8})";
    CHECK(control.status(control.request("PATCH", "/config", "7", bytes)) == 200);
    CHECK(control.status(control.request("PUT", "/config", "7", bytes)) == 400);
}

TEST_CASE("orders up to 4 MB are taken, larger ones and larger results are refused") {
    Control control;
    auto large = base_document();
    large["note"] = std::string(3 << 20, 'n');
    CHECK(control.status(control.request("PUT", "/config", "0", large.dump())) == 200);
    auto item = route("r9", "/z/", "s1");
    item["note"] = std::string(2 << 20, 'n');
    CHECK(control.status(control.request("PATCH", "/config", "7",
                                         json{{"version", 8}, {"upsert", {{"routes", {item}}}}}.dump())) == 413);
    large["version"] = 8;
    large["note"] = std::string(4 << 20, 'n');
    CHECK(control.status(control.request("PUT", "/config", "7", large.dump())) == 413);
    CHECK(control.status(control.request("PATCH", "/config", "7", R"({"version":8})")) == 200);
}

TEST_CASE("random orders of both kinds, sent again and out of order, are answered as a plain register answers") {
    struct Order {
        std::string method, if_match, body;
    };
    Pcg chance(77);
    for (int day = 0; day < 20; ++day) {
        Control control;
        json current;
        uint64_t version = 0;
        std::set<std::pair<std::string, std::string>> accepted;   // by method and body
        std::vector<Order> sent;
        for (int step = 0; step < 120; ++step) {
            Order order;
            if (!sent.empty() && chance.uniform() < 0.3) {
                order = sent[static_cast<size_t>(chance.uniform() * static_cast<double>(sent.size()))];
            } else {
                const auto base = version + (chance.uniform() < 0.2 ? 1 : 0);
                const auto next = version + static_cast<uint64_t>(chance.uniform() * 3);
                order.method = chance.uniform() < 0.3 ? "PUT" : "PATCH";
                order.if_match = std::to_string(base);
                auto whole = base_document();
                whole["version"] = next;
                order.body = order.method == "PUT" ? whole.dump() : random_patch(chance, next).dump();
                if (chance.uniform() < 0.05) order.body.resize(order.body.size() / 2);
                sent.push_back(order);
            }
            const bool again = accepted.count({order.method, order.body}) > 0;
            const bool builds_on_current = order.if_match == std::to_string(version);
            const auto parsed = json::parse(order.body, nullptr, false);
            std::optional<json> result;
            if (!parsed.is_discarded() && parsed.at("version") >= 1) {
                json empty{{"version", 0}, {"routes", json::array()}, {"services", json::array()}};
                result = order.method == "PUT" ? std::optional(parsed)
                                               : lab::control::patched(current.is_null() ? empty : current, parsed);
            }
            const bool taken = builds_on_current && result && (*result)["version"] > version;
            const int status = control.status(control.request(order.method, "/config", order.if_match, order.body));
            CAPTURE(order.body);
            if (again || taken)
                REQUIRE(status == 200);
            else
                REQUIRE((status == 412 || status == 400));
            if (!again && !builds_on_current && result) REQUIRE(status == 412);
            if (again || !taken) continue;
            accepted.insert({order.method, order.body});
            current = *result;
            version = current.at("version");
            REQUIRE(json::parse(control.body(control.request("GET", "/config"))) == current);
        }
    }
}
