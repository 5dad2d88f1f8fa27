#include "roles/proxy/request_intake.hpp"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

namespace myrtleroute::proxy {
namespace {

constexpr double answer_margin = 0.01;   // fraction of the client's deadline reserved for returning the response
constexpr int lowest_priority = 9;

// Fields that the proxy sets itself or does not forward.
bool is_own_field(std::string_view name) {
    constexpr std::string_view names[] = {"Authorization",       "X-Tenant-Id", "X-Deadline-Ms",
                                          "X-Expected-Instance", "Priority",    "Last-Event-Id"};
    return std::any_of(std::begin(names), std::end(names),
                       [&](auto known) { return wire::equals_ignore_case(name, known); });
}

std::string_view presented_key(const std::vector<Field>& fields) {
    auto value = field_value(fields, "Authorization");
    constexpr std::string_view scheme = "Token ";
    if (value.size() < scheme.size() || !wire::equals_ignore_case(value.substr(0, scheme.size()), scheme)) return {};
    return wire::trim(value.substr(scheme.size()));
}

// The tenant's priority takes precedence over the route's.
int priority_of(const Request& request) {
    const bool by_tenant = request.tenant && request.tenant->priority >= 0;
    return std::clamp(by_tenant ? request.tenant->priority : request.route->priority, 0, lowest_priority);
}

}   // namespace

int entitle(Request& request, const RequestReader& reader, bool keys_are_current) {
    request.route = request.table->find(field_value(reader.fields, "Host"), reader.target);
    if (!request.route) return 404;
    if (!request.table->has_tenants()) return 0;
    if (!keys_are_current && !request.route->is_public) return 503;
    const auto key = presented_key(reader.fields);
    if (!key.empty()) request.tenant = request.table->tenant(key);
    return request.tenant || request.route->is_public ? 0 : 401;
}

void read_terms(Request& request, const RequestReader& reader, Time now) {
    request.arrived = now;
    request.prompt = routing::read_prompt(field_value(reader.fields, "X-Token-Count"),
                                          field_value(reader.fields, "X-Prompt-Prefix"));
    const auto deadline_ms = wire::parse_decimal(field_value(reader.fields, "X-Deadline-Ms"));
    Span timeout = request.route->timeout;
    if (deadline_ms && *deadline_ms > 0) timeout = std::min(timeout, Span{*deadline_ms / 1e3} * (1 - answer_margin));
    request.deadline = now + timeout;
}

void take_content(Request& request, RequestReader& reader) {
    request.events = routing::EventStream(std::string(field_value(reader.fields, "Last-Event-Id")));
    request.method = std::move(reader.method);
    request.target = std::move(reader.target);
    request.body = std::move(reader.content);
    for (auto& field : reader.fields)
        if (!is_own_field(field.first)) request.fields.push_back(std::move(field));
    request.fields.emplace_back("Priority", std::to_string(priority_of(request)));
}

}   // namespace myrtleroute::proxy
