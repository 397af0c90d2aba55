#include "command_parts.hpp"

namespace camphorknot::client::internal {
namespace {

using table = std::vector<std::vector<std::string>>;

std::string yes_or_no(bool value)
{
    return value ? "yes" : "no";
}

std::string text_field(const json& value, const char* field)
{
    const auto place = value.find(field);
    if (place == value.end() || place->is_null()) {
        return "";
    }
    return place->is_string() ? place->get<std::string>() : place->dump();
}

json members_of(const json& status)
{
    return status.is_object() && status.contains("members") ? status["members"] : json::array();
}

json moves_in(const json& body)
{
    return body.is_object() ? body.value("moves", json::array()) : body;
}

// Finds an instance in the configuration, for its region and failure domain: the status may lack them.
const instance_object* find_instance(const configuration& value, const std::string& address)
{
    const auto place = value.objects.find({object_kind::instance, address});
    return place == value.objects.end() ? nullptr : std::get_if<instance_object>(&place->second);
}

void print_instances(std::ostream& out, const json& status, const configuration& current)
{
    table rows{{"INSTANCE", "REGION", "FAILURE_DOMAIN", "STATE", "VERSION", "AUTHORITY", "LAGS"}};
    for (const json& member : members_of(status)) {
        const std::string address = text_field(member, "peer_address");
        const instance_object* configured = find_instance(current, address);
        const std::uint64_t version = member.value("configuration_version", std::uint64_t{0});
        rows.push_back({address, configured == nullptr ? "-" : configured->region,
                        configured == nullptr ? "-" : configured->failure_domain, text_field(member, "state"),
                        std::to_string(version), yes_or_no(member.value("has_authority", false)),
                        version < current.version ? std::to_string(current.version - version) : "-"});
    }
    print_table(out, rows);
}

void print_regions(std::ostream& out, const configuration& current)
{
    table rows{{"REGION", "SERVICE", "TARGETS", "SLOTS", "MAX_IN_FLIGHT"}};
    for (const region_object& region : objects_of<region_object>(current)) {
        for (const service_object& service : objects_of<service_object>(current)) {
            std::size_t targets = 0;
            std::uint64_t slots = 0;
            for (const target_object& target : objects_of<target_object>(current)) {
                if (target.region == region.name && target.service == service.name) {
                    ++targets;
                    slots += target.slots;
                }
            }
            const auto limit =
                current.objects.find({object_kind::region_limit, service.name + "/" + region.name});
            rows.push_back(
                {region.name, service.name, std::to_string(targets), std::to_string(slots),
                 limit == current.objects.end()
                     ? "-"
                     : std::to_string(std::get<region_limit_object>(limit->second).max_in_flight)});
        }
    }
    print_table(out, rows);
}

void print_targets(std::ostream& out, const configuration& current)
{
    table rows{{"TARGET", "SERVICE", "VERSION", "REGION", "FAILURE_DOMAIN", "SLOTS"}};
    for (const target_object& target : objects_of<target_object>(current)) {
        rows.push_back({target.address, target.service, target.version, target.region, target.failure_domain,
                        std::to_string(target.slots)});
    }
    print_table(out, rows);
}

void print_customers(std::ostream& out, const configuration& current)
{
    table rows{{"CUSTOMER", "RATE_PER_SECOND", "BURST", "KEYS"}};
    const auto keys = objects_of<key_object>(current);
    for (const customer_object& customer : objects_of<customer_object>(current)) {
        const auto count = std::count_if(
            keys.begin(), keys.end(), [&](const key_object& key) { return key.customer == customer.name; });
        rows.push_back({customer.name, std::to_string(customer.rate_per_second),
                        std::to_string(customer.burst), std::to_string(count)});
    }
    print_table(out, rows);
}

exit_code show_status(const command_options& options, command_context& context)
{
    const auto status = get_json(context, "/v1/status");
    if (!status) {
        return status.reason;
    }
    const auto current = get_configuration(context);
    if (!current) {
        return current.reason;
    }
    if (options.json) {
        *context.out << status->dump() << "\n";
        return exit_code::done;
    }
    std::ostream& out = *context.out;
    out << "version " << current->version << ", authority " << yes_or_no(status->value("authority", false))
        << ", configuration trusted " << yes_or_no(status->value("configuration_trusted", false))
        << ", store reachable " << yes_or_no(status->value("store_reachable", false)) << "\n\n";
    print_instances(out, *status, *current);
    out << "\n";
    print_regions(out, *current);
    out << "\n";
    print_targets(out, *current);
    out << "\n";
    print_customers(out, *current);
    return exit_code::done;
}

exit_code show_moves(const command_options& options, command_context& context)
{
    const auto body = get_json(context, "/v1/moves");
    if (!body) {
        return body.reason;
    }
    if (options.json) {
        *context.out << moves_in(*body).dump() << "\n";
        return exit_code::done;
    }
    table rows{{"MOVE", "KIND", "STAGE", "SHARE_PERCENT", "REASON"}};
    for (const json& move : moves_in(*body)) {
        rows.push_back({text_field(move, "name"), text_field(move, "kind"), text_field(move, "stage"),
                        text_field(move, "share_percent"), text_field(move, "reason")});
    }
    print_table(*context.out, rows);
    return exit_code::done;
}

struct move_watcher {
    const command_options& options;
    command_context& context;
    std::chrono::milliseconds waited{0};
    std::string last_line;

    bool pause()
    {
        context.sleep(options.poll_period);
        waited += options.poll_period;
        return waited < options.wait_limit;
    }

    void print_if_changed(const std::string& text, const json& as_json)
    {
        const std::string line = options.json ? as_json.dump() : text;
        if (line != last_line) {
            *context.out << line << "\n";
        }
        last_line = line;
    }

    exit_code timed_out()
    {
        *context.errors << "timed_out: last seen: " << last_line << "\n";
        return exit_code::timed_out;
    }

    // Returns std::nullopt while the move is in progress.
    std::optional<exit_code> check_move(const std::string& name, const json& body)
    {
        for (const json& move : moves_in(body)) {
            if (text_field(move, "name") != name) {
                continue;
            }
            const std::string stage = text_field(move, "stage");
            const std::string reason = text_field(move, "reason");
            std::string line = name;
            line.append(": ")
                .append(stage)
                .append(", share ")
                .append(text_field(move, "share_percent"))
                .append("%");
            if (!reason.empty() && reason != "none") {
                line.append(", reason ").append(reason);
            }
            print_if_changed(line, move);
            if (stage == "done") {
                return exit_code::done;
            }
            return stage == "rolled_back" ? std::optional(exit_code::rolled_back) : std::nullopt;
        }
        *context.errors << "error: no move is called '" << name << "'\n";
        return exit_code::usage;
    }

    exit_code watch_move(const std::string& name)
    {
        do {
            const auto body = get_json(context, "/v1/moves");
            if (body) {
                if (const auto finished = check_move(name, *body)) {
                    return *finished;
                }
            }
        } while (pause());
        return timed_out();
    }

    std::optional<exit_code> check_version(std::uint64_t version, const json& status)
    {
        std::string lagging;
        for (const json& member : members_of(status)) {
            const bool lags = member.value("configuration_version", std::uint64_t{0}) < version;
            if (lags && text_field(member, "state") == "alive") {
                lagging += (lagging.empty() ? "" : ", ") + text_field(member, "peer_address");
            }
        }
        const bool on_queried_instance = status.value("configuration_version", std::uint64_t{0}) >= version;
        const std::string number = std::to_string(version);
        if (on_queried_instance && lagging.empty()) {
            print_if_changed("version " + number + ": in force everywhere",
                             {{"version", version}, {"in_force", true}});
            return exit_code::done;
        }
        print_if_changed("version " + number + ": not yet on " +
                             (lagging.empty() ? "the queried instance" : lagging),
                         {{"version", version}, {"in_force", false}, {"lagging", lagging}});
        return std::nullopt;
    }

    exit_code watch_version(std::uint64_t version)
    {
        do {
            const auto status = get_json(context, "/v1/status");
            if (status) {
                if (const auto finished = check_version(version, *status)) {
                    return *finished;
                }
            }
        } while (pause());
        return timed_out();
    }
};

} // namespace

exit_code run_status_command(const command_options& options, command_context& context)
{
    return options.command == "moves" ? show_moves(options, context) : show_status(options, context);
}

exit_code run_watch_command(const command_options& options, command_context& context)
{
    move_watcher active_watcher{options, context, std::chrono::milliseconds(0), ""};
    if (options.arguments.size() == 1) {
        return active_watcher.watch_move(options.arguments.front());
    }
    const bool version = options.arguments.size() == 2 && options.arguments.front() == "version";
    const std::string number = version ? options.arguments[1] : "";
    if (number.empty() || number.find_first_not_of("0123456789") != std::string::npos) {
        *context.errors << "error: watch needs the name of a move, or: version NUMBER\n";
        return exit_code::usage;
    }
    return active_watcher.watch_version(std::strtoull(number.c_str(), nullptr, 10));
}

} // namespace camphorknot::client::internal

namespace camphorknot::client {

exit_code run_command(const command_options& options, command_context& context)
{
    const std::string& name = options.command;
    if (name == "validate" || name == "diff" || name == "apply" || name == "export") {
        return internal::run_manifest_command(options, context);
    }
    if (name == "keys") {
        return internal::run_keys_command(options, context);
    }
    if (name == "status" || name == "moves") {
        return internal::run_status_command(options, context);
    }
    if (name == "watch") {
        return internal::run_watch_command(options, context);
    }
    if (name == "explain" || name == "failures") {
        return internal::run_log_command(options, context);
    }
    *context.errors << "error: unknown command '" << name << "'; see camphorknotctl --help\n";
    return exit_code::usage;
}

} // namespace camphorknot::client
