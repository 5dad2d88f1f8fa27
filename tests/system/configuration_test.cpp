// Parsing of settings files and configurations, valid and invalid.
#include <doctest/doctest.h>

#include "configuration/configuration.hpp"
#include "configuration/node_settings.hpp"

using namespace myrtleroute;
using configuration::Configuration;
using configuration::read_configuration;
using configuration::read_node_settings;

namespace {

const std::string valid_settings =
    "nodeName=edge-1\nip=10.1.0.3\nzone=north\nlisten.front=10.1.0.3:8360\nlisten.ready=10.1.0.3:8365\n"
    "internalPorts=7500,7515\nseeds=10.1.0.3:8367,10.2.0.18:8367\nbootstrap=true\nbounds.configMs=2000\n";

std::string configuration_text(const std::string& routes, const std::string& tenants = "[]", int version = 7) {
    return R"({"version":)" + std::to_string(version) + R"(,"routes":)" + routes +
           R"(,"services":[{"name":"a","healthCheck":"/health"},{"name":"b","engine":{"capacity":4}}],"tenants":)" +
           tenants + "}";
}

std::string route(const std::string& prefix, const std::string& more = R"("service":"a")") {
    return R"({"name":"r","hostname":"h.example","pathPrefix":")" + prefix + R"(","timeoutMs":1000,)" + more + "}";
}

std::string findings_of(const std::string& text) {
    const auto checked = read_configuration(text);
    return checked.index() == 0 ? "" : join_findings(std::get<Findings>(checked));
}

}   // namespace

TEST_CASE("a valid settings file is read, and unknown keys are ignored") {
    const auto checked = read_node_settings(valid_settings + "unknown.key=is ignored\n", "f");
    REQUIRE(checked.index() == 0);
    const auto& settings = std::get<0>(checked);
    CHECK(settings.node_name == "edge-1");
    CHECK(settings.front->text() == "10.1.0.3:8360");
    CHECK_FALSE(settings.control);
    CHECK(settings.first_internal_port == 7500);
    CHECK(settings.seeds.size() == 2);
    CHECK(settings.bootstrap);
    CHECK(settings.data_directory.empty());
}

TEST_CASE("the metrics address may be absent, empty or valid") {
    CHECK_FALSE(std::get<0>(read_node_settings(valid_settings, "f")).metrics);
    CHECK_FALSE(std::get<0>(read_node_settings(valid_settings + "metrics=\n", "f")).metrics);
    const auto checked = read_node_settings(valid_settings + "metrics=7900/figures/all\n", "f");
    REQUIRE(checked.index() == 0);
    CHECK(std::get<0>(checked).metrics == configuration::MetricsAddress{7900, "/figures/all"});
}

TEST_CASE("an invalid metrics address is reported with its line") {
    for (const std::string value : {"7900", "7900/", "/figures", "0/figures", "65536/figures", "-1/figures",
                                    "x/figures", "7900/fig ures", "7900/figures?all", "7900/figures#all"}) {
        CAPTURE(value);
        const auto checked = read_node_settings(valid_settings + "metrics=" + value + "\n", "f");
        REQUIRE(checked.index() == 1);
        CHECK(join_findings(std::get<1>(checked)) ==
              "f:10: metrics must be a port and a path, PORT/PATH, not '" + value + "'");
    }
}

TEST_CASE("the advertised address replaces a machine's own address for others") {
    const auto own = read_node_settings(valid_settings, "f");
    REQUIRE(own.index() == 0);
    CHECK(std::get<0>(own).reachable_address() == "10.1.0.3");
    const auto advertised = read_node_settings(valid_settings + "advertise.address=10.9.0.1\n", "f");
    REQUIRE(advertised.index() == 0);
    CHECK(std::get<0>(advertised).address == "10.1.0.3");
    CHECK(std::get<0>(advertised).reachable_address() == "10.9.0.1");
    const auto invalid = read_node_settings(valid_settings + "advertise.address=nowhere\n", "f");
    REQUIRE(invalid.index() == 1);
    CHECK(join_findings(std::get<1>(invalid)).find("advertise.address must be an IPv4 address, not 'nowhere'") !=
          std::string::npos);
}

TEST_CASE("all errors of a settings file are reported together, each with line and key") {
    const auto checked = read_node_settings(
        "nodeName=x\nip=10.1.0.3\nzone=z\nlisten.front=nowhere\ninternalPorts=9\nseeds=a,10.0.0.1:1\n"
        "bounds.graceS=soon\nbootstrap=perhaps\nno equals sign\n",
        "f");
    REQUIRE(checked.index() == 1);
    const auto text = join_findings(std::get<1>(checked));
    CHECK(text.find("f:4: listen.front must be an address and port, not 'nowhere'") != text.npos);
    CHECK(text.find("f:5: internalPorts must be two ports") != text.npos);
    CHECK(text.find("f:6: seeds must be addresses with ports, not 'a'") != text.npos);
    CHECK(text.find("f:7: bounds.graceS must be a number") != text.npos);
    CHECK(text.find("f:8: bootstrap must be true or false") != text.npos);
    CHECK(text.find("f:9: is not of the form key=value") != text.npos);
}

TEST_CASE("a missing required key is reported by name") {
    const auto checked = read_node_settings("ip=10.1.0.3\n", "f");
    REQUIRE(checked.index() == 1);
    CHECK(join_findings(std::get<1>(checked)).find("f: nodeName is missing") == 0);
}

TEST_CASE("a valid configuration is read") {
    const auto checked = read_configuration(configuration_text(
        "[" +
            route(
                "/x/",
                R"("kind":"streaming","resumable":true,"backends":[{"service":"a","weight":3},{"service":"b","weight":0}])") +
            "]",
        R"([{"name":"t","apiKeys":["k1","k2"],"unit":"token_rate","ratePerS":5,"burst":9,"priority":2}])"));
    REQUIRE(checked.index() == 0);
    const auto& configuration = std::get<Configuration>(checked);
    CHECK(configuration.version == 7);
    REQUIRE(configuration.routes.size() == 1);
    CHECK(configuration.routes[0].backends.size() == 2);
    CHECK(configuration.routes[0].is_retryable());
    CHECK(configuration.services[1].is_engine);
    CHECK(configuration.tenants[0].counts_tokens);
    CHECK(configuration.tenants[0].api_keys.size() == 2);
}

TEST_CASE("an invalid configuration is rejected with the location of the error") {
    struct Case {
        const char* name;
        std::string text;
        const char* expected;
    };
    const std::vector<Case> cases = {
        {"truncated", configuration_text("[" + route("/x/") + "]").substr(0, 60), "byte "},
        {"empty", "", "byte "},
        {"not an object", "[]", "breaks the schema's 'type'"},
        {"no routes", R"({"version":1,"services":[]})", "breaks the schema's 'required'"},
        {"version is a string", R"({"version":"1","services":[],"routes":[]})", "/version: breaks the schema's 'type'"},
        {"unknown service", configuration_text("[" + route("/x/", R"("service":"c")") + "]"),
         "/routes/0: there is no service 'c'"},
        {"duplicate route", configuration_text("[" + route("/x/") + "," + route("/x/") + "]"),
         "/routes/1/pathPrefix: another route"},
        {"zero weight", configuration_text("[" + route("/x/", R"("backends":[{"service":"a","weight":0}])") + "]"),
         "weights add up to 0"},
        {"zero timeout", configuration_text(R"([{"hostname":"h","pathPrefix":"/","timeoutMs":0,"service":"a"}])"),
         "/routes/0/timeoutMs: must be above 0"},
        {"shared key", configuration_text("[]", R"([{"name":"t","apiKeys":["k"]},{"name":"u","apiKeys":["k"]}])"),
         "/tenants/1/apiKeys: another tenant"},
        {"version 0", configuration_text("[]", "[]", 0), "/version: breaks the schema's 'minimum'"},
        {"invalid UTF-8", configuration_text("[" + route("/\xff/") + "]"), "byte "},
    };
    for (const auto& test_case : cases) {
        CAPTURE(test_case.name);
        CAPTURE(findings_of(test_case.text));
        CHECK(findings_of(test_case.text).find(test_case.expected) != std::string::npos);
    }
}

TEST_CASE("a configuration truncated at any byte is rejected") {
    const auto document = configuration_text("[" + route("/x/") + "]");
    for (size_t length = 0; length < document.size(); ++length)
        CHECK_FALSE(findings_of(document.substr(0, length)).empty());
}
