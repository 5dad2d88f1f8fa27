// Configuration patches, compared with a reference model, and PUT and PATCH requests at a control node.
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

std::string finding_locations(const json& patch) {
    const auto checked = apply_patch(base_document().dump(), patch.dump());
    const auto* findings = std::get_if<Findings>(&checked);
    if (!findings) return {};
    std::string all;
    for (const auto& finding : *findings) all += (all.empty() ? "" : " ") + finding.location;
    return all;
}

std::string random_name(Pcg& rng, const char* prefix, uint32_t count) {
    return prefix + std::to_string(static_cast<uint32_t>(rng.uniform() * count));
}

json random_item(Pcg& rng, const std::string& list) {
    if (list == "services")
        return {{"name", random_name(rng, "s", 4)}, {"maxConnections", static_cast<int>(rng.uniform() * 9)}};
    if (list == "tenants") return tenant(random_name(rng, "t", 5), random_name(rng, "k", 8));
    auto item = route(random_name(rng, "r", 6), "/" + random_name(rng, "p", 9) + "/", random_name(rng, "s", 4));
    if (rng.uniform() < 0.03) item["timeoutMs"] = 0;
    return item;
}

json random_patch(Pcg& rng, uint64_t version) {
    json patch{{"version", version}};
    for (const std::string list : {"routes", "services", "tenants"}) {
        while (rng.uniform() < 0.45) patch["upsert"][list].push_back(random_item(rng, list));
        while (rng.uniform() < 0.2) patch["delete"][list].push_back(random_name(rng, list.substr(0, 1).c_str(), 5));
    }
    return patch;
}

}   // namespace

TEST_CASE("a patch replaces items by name, appends new ones and keeps the rest unchanged") {
    const json patch{{"version", 9},
                     {"upsert", {{"routes", {route("r1", "/c/", "s2"), route("r3", "/a/", "s1")}}}},
                     {"delete", {{"tenants", {"t1"}}}}};
    auto expected = base_document();
    expected["version"] = 9;
    expected["routes"] = {route("r1", "/c/", "s2"), route("r2", "/b/", "s2"), route("r3", "/a/", "s1")};
    expected["tenants"] = json::array({tenant("t2", "k2")});
    CHECK(applied(base_document(), patch) == expected);
}

TEST_CASE("a patch may start from no configuration, change no item, or add the first items of a list") {
    const json document{{"version", 1},
                        {"upsert", {{"services", {{{"name", "s1"}}}}, {"routes", {route("r1", "/a/", "s1")}}}}};
    const auto first = applied(json(), document);
    CHECK(first["routes"].size() == 1);
    auto later = first;
    later["version"] = 2;
    CHECK(applied(first, {{"version", 2}}) == later);
    CHECK(applied(first, {{"version", 2}, {"upsert", {{"tenants", {tenant("t1", "k1")}}}}})["tenants"].size() == 1);
}

TEST_CASE("errors of a patch are reported with their location in the patch") {
    const auto upsert = [](const std::string& list, json items) {
        return json{{"version", 9}, {"upsert", {{list, std::move(items)}}}};
    };
    const auto remove = [](const std::string& list, json names) {
        return json{{"version", 9}, {"delete", {{list, std::move(names)}}}};
    };
    CHECK(finding_locations(upsert("routes", {route("r3", "/c/", "s9")})) == "/upsert/routes/0");
    CHECK(finding_locations(upsert("routes", {route("r3", "/d/", "s1"), route("r4", "/b/", "s1")})) ==
          "/upsert/routes/1/pathPrefix");
    auto zero_weight = route("r3", "/c/", "s1");
    zero_weight["backends"] = json::array({{{"service", "s1"}, {"weight", 0}}});
    CHECK(finding_locations(upsert("routes", {zero_weight})) == "/upsert/routes/0/backends");
    auto zero_timeout = route("r1", "/a/", "s1");
    zero_timeout["timeoutMs"] = 0;
    CHECK(finding_locations(upsert("routes", {zero_timeout})) == "/upsert/routes/0/timeoutMs");
    CHECK(finding_locations(upsert("tenants", {tenant("t3", "k1")})) == "/upsert/tenants/0/apiKeys");
    CHECK(finding_locations(upsert("routes", {{{"name", "r3"}}})) == "/upsert/routes/0");
    auto unnamed = route("", "/c/", "s1");
    unnamed.erase("name");
    CHECK(finding_locations(upsert("routes", {unnamed})) == "/upsert/routes/0/name");
    CHECK(finding_locations(upsert("tenants", {tenant("t3", "k3"), tenant("t3", "k4")})) == "/upsert/tenants/1/name");
    CHECK(finding_locations(upsert("models", json::array())) == "/upsert/models");
    CHECK(finding_locations(remove("routes", {"r1", "r9"})) == "/delete/routes/1");
    CHECK(finding_locations(remove("routes", {"r1", "r1"})) == "/delete/routes/1");
    CHECK(finding_locations(remove("services", {"s2"})) == "/routes/1");   // an unchanged route refers to it
    CHECK(finding_locations(
              {{"version", 9}, {"upsert", {{"tenants", {tenant("t1", "k9")}}}}, {"delete", {{"tenants", {"t1"}}}}}) ==
          "/upsert/tenants/0/name");
    CHECK(finding_locations({{"upsert", json::object()}}) == "/");
    const auto truncated = apply_patch(base_document().dump(), R"({"version":9,"upsert":{"rou)");
    REQUIRE(truncated.index() == 1);
    CHECK(std::get<Findings>(truncated).front().location.starts_with("byte "));
}

TEST_CASE("a patch that names an ambiguous item is rejected") {
    auto ambiguous = base_document();
    ambiguous["routes"].push_back(route("r1", "/z/", "s1"));
    for (const json patch : {json{{"version", 9}, {"upsert", {{"routes", {route("r1", "/y/", "s1")}}}}},
                             json{{"version", 9}, {"delete", {{"routes", {"r1"}}}}}})
        CHECK(apply_patch(ambiguous.dump(), patch.dump()).index() == 1);
}

TEST_CASE("random patches give the same result as a reference model") {
    Pcg rng(76);
    size_t accepted_count = 0;
    for (int run = 0; run < 60; ++run) {
        auto document = base_document();
        for (uint64_t version = 8; version < 60; ++version) {
            const auto patch = random_patch(rng, version);
            const auto expected = lab::control::patched(document, patch);
            const auto checked = apply_patch(document.dump(), patch.dump());
            CAPTURE(document.dump());
            CAPTURE(patch.dump());
            REQUIRE((checked.index() == 0) == expected.has_value());
            if (!expected) continue;
            REQUIRE(json::parse(std::get<Patched>(checked).document) == *expected);
            document = *expected;
            ++accepted_count;
        }
    }
    CHECK(accepted_count > 500);
}

// Requests at a control node.

TEST_CASE("a control node accepts a patch under the same rules as a PUT and returns the complete configuration") {
    Control control;
    control.subscribe();
    REQUIRE(control.status(control.request("PUT", "/config", "0", base_document().dump())) == 200);
    const json patch{{"version", 9}, {"delete", {{"routes", {"r2"}}}}};
    CHECK(control.status(control.request("PATCH", "/config", "", patch.dump())) == 428);
    CHECK(control.status(control.request("PATCH", "/config", "6", patch.dump())) == 412);
    CHECK(control.status(control.request("PATCH", "/config", "7", patch.dump())) == 200);
    CHECK(control.sent_configuration() == 9);
    const auto document = json::parse(control.body(control.request("GET", "/config")));
    CHECK(document == *lab::control::patched(base_document(), patch));
    CHECK(control.status(control.request("PATCH", "/config", "7", patch.dump())) == 200);   // a repeated request
    CHECK(control.status(control.request("PATCH", "/config", "9", R"({"version":9})")) == 400);
    CHECK(control.status(control.request("PATCH", "/config", "9", R"({"version":10,"upsert":)")) == 400);
    const auto refused = control.request("PATCH", "/config", "9", R"({"version":10,"delete":{"services":["s1"]}})");
    CHECK(control.status(refused) == 400);
    CHECK(control.body(refused).find("/routes/0") != std::string::npos);
    CHECK(json::parse(control.body(control.request("GET", "/config"))) == document);
}

TEST_CASE("an accepted patch isn't mistaken for a PUT with the same bytes") {
    Control control;
    REQUIRE(control.status(control.request("PUT", "/config", "0", base_document().dump())) == 200);
    const std::string bytes = R"({"version":8})";
    CHECK(control.status(control.request("PATCH", "/config", "7", bytes)) == 200);
    CHECK(control.status(control.request("PUT", "/config", "7", bytes)) == 400);
}

TEST_CASE("requests up to 4 MB are accepted, larger requests and larger results are rejected") {
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

TEST_CASE("random, repeated and reordered PUTs and PATCHes are answered like a reference register") {
    struct Request {
        std::string method, if_match, body;
    };
    Pcg rng(77);
    for (int run = 0; run < 20; ++run) {
        Control control;
        json current;
        uint64_t version = 0;
        std::set<std::pair<std::string, std::string>> accepted;   // by method and body
        std::vector<Request> sent;
        for (int step = 0; step < 120; ++step) {
            Request request;
            if (!sent.empty() && rng.uniform() < 0.3) {
                request = sent[static_cast<size_t>(rng.uniform() * static_cast<double>(sent.size()))];
            } else {
                const auto base = version + (rng.uniform() < 0.2 ? 1 : 0);
                const auto next = version + static_cast<uint64_t>(rng.uniform() * 3);
                request.method = rng.uniform() < 0.3 ? "PUT" : "PATCH";
                request.if_match = std::to_string(base);
                auto document = base_document();
                document["version"] = next;
                request.body = request.method == "PUT" ? document.dump() : random_patch(rng, next).dump();
                if (rng.uniform() < 0.05) request.body.resize(request.body.size() / 2);
                sent.push_back(request);
            }
            const bool repeated = accepted.count({request.method, request.body}) > 0;
            const bool builds_on_current = request.if_match == std::to_string(version);
            const auto parsed = json::parse(request.body, nullptr, false);
            std::optional<json> result;
            if (!parsed.is_discarded() && parsed.at("version") >= 1) {
                json empty{{"version", 0}, {"routes", json::array()}, {"services", json::array()}};
                result = request.method == "PUT" ? std::optional(parsed)
                                                 : lab::control::patched(current.is_null() ? empty : current, parsed);
            }
            const bool accepted_now = builds_on_current && result && (*result)["version"] > version;
            const int status =
                control.status(control.request(request.method, "/config", request.if_match, request.body));
            CAPTURE(request.body);
            if (repeated || accepted_now)
                REQUIRE(status == 200);
            else
                REQUIRE((status == 412 || status == 400));
            if (!repeated && !builds_on_current && result) REQUIRE(status == 412);
            if (repeated || !accepted_now) continue;
            accepted.insert({request.method, request.body});
            current = *result;
            version = current.at("version");
            REQUIRE(json::parse(control.body(control.request("GET", "/config"))) == current);
        }
    }
}
