#include "camphorknot/client/manifest.hpp"

#include <algorithm>
#include <functional>

#include "yaml_fields.hpp"

namespace camphorknot::client {
namespace {

using internal::parse_state;
using internal::yaml_fields;

constexpr std::int64_t max_number = 1'000'000'000;

/// One entry of a section and its location, for validation errors.
struct located_object {
    std::string path;
    YAML::Node node;
};

struct manifest_reader {
    parse_state state;
    manifest value;
    std::map<object_key, located_object> locations;
    std::map<std::string, std::string> region_by_domain; ///< Region of each failure domain read so far.

    void read_sections(const YAML::Node& root);
    void check_objects();

private:
    using entry_reader = std::function<configuration_object(yaml_fields&)>;
    void read_section(yaml_fields& top, const std::string& name, const entry_reader& read);
    void read_region_and_domain(yaml_fields& fields, std::string& region, std::string& failure_domain) const;
    configuration_object read_service(yaml_fields& fields);
    configuration_object read_link(yaml_fields& fields);
    configuration_object read_site_set(yaml_fields& fields);
    configuration_object read_block(yaml_fields& fields);
    configuration_object read_move(yaml_fields& fields);
    void read_deadline(yaml_fields& fields, move_object& move);
    bool follows_from_reported_problem(const located_object& object, const change_problem& problem,
                                       const std::string& path) const;
    void add_validation_problem(const change_problem& problem);
};

void manifest_reader::read_section(yaml_fields& top, const std::string& name, const entry_reader& read)
{
    std::size_t index = 0;
    for (const YAML::Node& node : top.list(name, false)) {
        const std::string path = name + "[" + std::to_string(index++) + "]";
        yaml_fields fields(state, path, node);
        if (!node.IsMap()) {
            continue;
        }
        configuration_object object = read(fields);
        fields.report_unknown_fields();
        const object_key key = key_of(object);
        const auto [place, added] = locations.emplace(key, located_object{path, node});
        if (added) {
            value.objects.upserts.push_back(std::move(object));
        } else if (!state.faulty_fields.contains(path + ".name")) {
            internal::add_problem(state, node, path, "'" + key.name + "' again",
                                  "a name that " + place->second.path + " does not have");
        }
    }
}

// The region is optional: it defaults to that of the failure domain.
void manifest_reader::read_region_and_domain(yaml_fields& fields, std::string& region,
                                             std::string& failure_domain) const
{
    failure_domain = fields.required_text("failure_domain");
    const auto place = region_by_domain.find(failure_domain);
    region = fields.text("region", place == region_by_domain.end() ? "" : place->second);
}

route_object read_route(yaml_fields& fields)
{
    route_object route;
    route.name = fields.required_text("name");
    route.method = fields.required_text("method");
    route.path_prefix = fields.required_text("path_prefix");
    route.idempotent = fields.flag("idempotent", route.idempotent);
    route.can_wait = fields.flag("can_wait", route.can_wait);
    route.open = fields.flag("open", route.open);
    route.timeout_ms = fields.number("timeout_ms", route.timeout_ms, max_number);
    route.body_limit_kb = fields.number("body_limit_kb", route.body_limit_kb, max_number);
    return route;
}

configuration_object manifest_reader::read_service(yaml_fields& fields)
{
    service_object service;
    service.name = fields.required_text("name");
    service.active_version = fields.required_text("active_version");
    service.reserve_percent = fields.small_number("reserve_percent", service.reserve_percent);
    service.shift_cap_percent_per_second =
        fields.small_number("shift_cap_percent_per_second", service.shift_cap_percent_per_second);
    std::size_t index = 0;
    for (const YAML::Node& node : fields.list("routes", true)) {
        yaml_fields route(state, fields.path + ".routes[" + std::to_string(index++) + "]", node);
        service.routes.push_back(read_route(route));
        route.report_unknown_fields();
    }
    return service;
}

configuration_object manifest_reader::read_link(yaml_fields& fields)
{
    constexpr std::int64_t kilobytes_per_megabit = 125;
    link_object link;
    link.from_region = fields.required_text("from_region");
    link.to_region = fields.required_text("to_region");
    const std::int64_t megabits = fields.number("megabits_per_second", 0, max_number);
    const std::int64_t kilobytes = fields.number("kilobytes_per_second", 0, max_number);
    if (fields.has("megabits_per_second") == fields.has("kilobytes_per_second")) {
        internal::add_problem(state, fields.map, fields.path,
                              fields.has("megabits_per_second") ? "both capacities" : "no capacity",
                              "one of megabits_per_second and kilobytes_per_second");
    }
    link.kilobytes_per_second = kilobytes + megabits * kilobytes_per_megabit;
    return link;
}

configuration_object manifest_reader::read_site_set(yaml_fields& fields)
{
    site_set_object set;
    set.name = fields.required_text("name");
    std::size_t index = 0;
    for (const YAML::Node& node : fields.list("sites", true)) {
        yaml_fields site(state, fields.path + ".sites[" + std::to_string(index++) + "]", node);
        std::string failure_domain = site.required_text("failure_domain");
        set.sites.push_back({std::move(failure_domain), site.small_number("weight", 1)});
        site.report_unknown_fields();
    }
    return set;
}

configuration_object manifest_reader::read_block(yaml_fields& fields)
{
    const std::string text = fields.required_text("block");
    block_object block;
    if (const auto parsed = parse_block(text)) {
        block = *parsed;
    } else if (!text.empty()) {
        internal::add_problem(state, fields.fields["block"], fields.path + ".block", "'" + text + "'",
                              "a CIDR block such as 10.1.0.0/16");
        // A distinct placeholder, so that several unreadable blocks are not reported as duplicates.
        block.network = static_cast<std::uint32_t>(locations.size());
        block.prefix_length = 0;
    }
    block.site_set = fields.required_text("site_set");
    return block;
}

void manifest_reader::read_deadline(yaml_fields& fields, move_object& move)
{
    const std::string text = fields.required_text("deadline");
    const auto deadline = parse_deadline(text, state.now);
    if (!deadline && fields.has("deadline")) {
        internal::add_problem(state, fields.fields["deadline"], fields.path + ".deadline", "'" + text + "'",
                              "an RFC 3339 time such as 2027-03-01T18:00:00Z, or in 90s, in 15m or in 2h");
    }
    move.deadline = deadline.value_or(1);
    if (text.starts_with("in ")) {
        value.relative_deadlines.insert(move.name);
    }
}

template <typename Value, std::size_t Count>
Value read_choice(yaml_fields& fields, const std::string& name, const std::array<const char*, Count>& names,
                  const std::string& text)
{
    std::string allowed;
    for (std::size_t index = 0; index < Count; ++index) {
        if (text == names[index]) {
            return static_cast<Value>(index);
        }
        allowed += (index == 0 ? "" : ", ") + std::string(names[index]);
    }
    if (fields.has(name)) {
        internal::add_problem(fields.state, fields.fields[name], fields.path + "." + name, "'" + text + "'",
                              "one of: " + allowed);
    }
    return Value{};
}

configuration_object manifest_reader::read_move(yaml_fields& fields)
{
    constexpr std::array<const char*, 3> kinds = {"drain", "rollout", "withdrawal"};
    constexpr std::array<const char*, 2> actions = {"roll_back", "finish"};
    move_object move;
    move.name = fields.required_text("name");
    move.kind = read_choice<move_kind>(fields, "kind", kinds, fields.required_text("kind"));
    move.service = fields.required_text("service");
    move.version = fields.text("version");
    for (const YAML::Node& node : fields.list("targets", false)) {
        move.targets.push_back(node.IsScalar() ? node.Scalar() : "");
    }
    read_deadline(fields, move);
    move.on_deadline =
        read_choice<deadline_action>(fields, "on_deadline", actions, fields.text("on_deadline", "roll_back"));
    move.soak_seconds = fields.number("soak_seconds", move.soak_seconds, max_number);
    return move;
}

void manifest_reader::read_sections(const YAML::Node& root)
{
    yaml_fields top(state, "", root);
    read_section(top, "regions",
                 [](yaml_fields& fields) { return region_object{fields.required_text("name")}; });
    read_section(top, "failure_domains", [this](yaml_fields& fields) {
        failure_domain_object domain{fields.required_text("name"), fields.required_text("region")};
        region_by_domain.emplace(domain.name, domain.region);
        return domain;
    });
    read_section(top, "instances", [this](yaml_fields& fields) {
        instance_object instance;
        instance.peer_address = fields.required_text("peer_address");
        read_region_and_domain(fields, instance.region, instance.failure_domain);
        return instance;
    });
    read_section(top, "services", [this](yaml_fields& fields) { return read_service(fields); });
    read_section(top, "targets", [this](yaml_fields& fields) {
        target_object target;
        target.address = fields.required_text("address");
        target.service = fields.required_text("service");
        target.version = fields.required_text("version");
        read_region_and_domain(fields, target.region, target.failure_domain);
        target.slots = fields.small_number("slots", std::nullopt);
        return target;
    });
    read_section(top, "customers", [](yaml_fields& fields) {
        customer_object customer;
        customer.name = fields.required_text("name");
        customer.rate_per_second = fields.number("rate_per_second", std::nullopt, max_number);
        customer.burst = fields.number("burst", std::nullopt, max_number);
        return customer;
    });
    read_section(top, "region_limits", [](yaml_fields& fields) {
        region_limit_object limit{fields.required_text("service"), fields.required_text("region")};
        limit.max_in_flight = fields.small_number("max_in_flight", std::nullopt);
        return limit;
    });
    read_section(top, "links", [this](yaml_fields& fields) { return read_link(fields); });
    read_section(top, "site_sets", [this](yaml_fields& fields) { return read_site_set(fields); });
    read_section(top, "client_blocks", [this](yaml_fields& fields) { return read_block(fields); });
    read_section(top, "moves", [this](yaml_fields& fields) { return read_move(fields); });
    top.report_unknown_fields();
}

// Locates the field named by a validation problem. For "routes.method" it is the method of the route that has
// the value in question.
located_object locate_field(const located_object& object, const change_problem& problem)
{
    const std::size_t dot = problem.field.find('.');
    const std::string first = problem.field.substr(0, dot);
    const std::string path = object.path + "." + first;
    const YAML::Node field = object.node[first];
    if (!field.IsDefined()) {
        return {object.path + "." + problem.field, object.node};
    }
    if (dot == std::string::npos || !field.IsSequence()) {
        return {path, field};
    }
    const std::string second = problem.field.substr(dot + 1);
    for (std::size_t index = 0; index < field.size(); ++index) {
        const YAML::Node value = field[index].IsMap() ? field[index][second] : YAML::Node();
        if (value.IsDefined() && value.IsScalar() && problem.seen.ends_with(value.Scalar())) {
            std::string place = path;
            place.append("[").append(std::to_string(index)).append("].").append(second);
            return {std::move(place), value};
        }
    }
    return {path, field};
}

// Whether the problem is only a consequence of one that was reported already.
bool manifest_reader::follows_from_reported_problem(const located_object& object,
                                                    const change_problem& problem,
                                                    const std::string& path) const
{
    const auto faulty = [&](const std::string& field) { return state.faulty_fields.contains(field); };
    const bool missing_region = problem.field == "region" && !object.node["region"].IsDefined();
    const bool faulty_block = problem.field == "prefix_length" && faulty(object.path + ".block");
    const bool faulty_kind = problem.object.kind == object_kind::move && faulty(object.path + ".kind");
    return faulty(path) || missing_region || faulty_block || faulty_kind;
}

void manifest_reader::add_validation_problem(const change_problem& problem)
{
    const auto place = locations.find(problem.object);
    if (place == locations.end()) {
        state.problems.push_back({state.file, 0, problem.field, "'" + problem.seen + "'", problem.allowed});
        return;
    }
    const located_object field = locate_field(place->second, problem);
    if (!follows_from_reported_problem(place->second, problem, field.path)) {
        const int line = field.node.Mark().line + 1;
        state.problems.push_back({state.file, line, field.path, "'" + problem.seen + "'", problem.allowed});
    }
}

void manifest_reader::check_objects()
{
    value.objects.version = 1;
    for (const change_problem& problem : validate({}, value.objects)) {
        add_validation_problem(problem);
    }
    std::ranges::stable_sort(state.problems, {}, &manifest_problem::line);
}

} // namespace

manifest_result read_manifest(const std::string& text, const std::string& file, unix_milliseconds now)
{
    manifest_reader reader;
    reader.state.file = file;
    reader.state.now = now;
    try {
        reader.read_sections(YAML::Load(text));
        reader.check_objects();
    } catch (const YAML::Exception& error) {
        reader.state.problems.push_back({file, error.mark.line + 1, "the file", error.msg, "YAML 1.2"});
    }
    return {std::move(reader.value), std::move(reader.state.problems)};
}

} // namespace camphorknot::client
