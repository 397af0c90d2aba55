#include "command_parts.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace camphorknot::client::internal {
namespace {

constexpr unsigned http_unauthorized = 401;
constexpr unsigned http_first_error = 400;

void print_problem(std::ostream& errors, const manifest_problem& problem)
{
    errors << problem.file << ":" << problem.line << ": " << problem.field << ": seen " << problem.seen
           << "; allowed: " << problem.allowed << "\n";
}

// The fields of an object except its type, as text.
std::map<std::string, std::string> fields_of(const configuration_object& object)
{
    const json text = json::parse(encode_change({0, {object}, {}}));
    std::map<std::string, std::string> fields;
    for (const auto& [name, value] : text["upserts"][0].items()) {
        if (name != "type") {
            fields[name] = value.is_string() ? value.get<std::string>() : value.dump();
        }
    }
    return fields;
}

std::string display_name(const object_key& key)
{
    return std::string(name_of(key.kind)) + " " + key.name;
}

} // namespace

exit_code report_failure(command_context& context, const admin_answer& answer)
{
    if (answer.state != delivery::answered) {
        *context.errors << "error: no instance answered; tried last: " << answer.instance << "\n";
        return exit_code::unreachable;
    }
    *context.errors << "error: " << answer.instance << " answered " << answer.code << " " << answer.body
                    << "\n";
    if (answer.code == http_unauthorized) {
        *context.errors << "hint: the token is read from the file given by --token_file\n";
    }
    return exit_code::refused;
}

or_exit<json> get_json(command_context& context, const std::string& target)
{
    const admin_answer answer = send(context.admin, {"GET", target, ""});
    if (answer.state != delivery::answered || answer.code >= http_first_error) {
        return fail<json>(report_failure(context, answer));
    }
    json body = json::parse(answer.body, nullptr, false);
    if (!body.is_object() && !body.is_array()) {
        *context.errors << "error: " << answer.instance << " sent a response that is not JSON for " << target
                        << "\n";
        return fail<json>(exit_code::refused);
    }
    return succeed<exit_code>(std::move(body));
}

or_exit<configuration> get_configuration(command_context& context)
{
    const admin_answer answer = send(context.admin, {"GET", "/v1/configuration", ""});
    if (answer.state != delivery::answered || answer.code >= http_first_error) {
        return fail<configuration>(report_failure(context, answer));
    }
    auto value = decode_snapshot(answer.body);
    if (!value) {
        *context.errors << "error: " << answer.instance << " sent a malformed configuration\n";
        return fail<configuration>(exit_code::refused);
    }
    return succeed<exit_code>(std::move(*value));
}

or_exit<manifest> load_manifest(const command_options& options, command_context& context)
{
    std::ifstream in(options.manifest_file);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in) {
        *context.errors << "error: cannot read " << options.manifest_file << "\n";
        return fail<manifest>(exit_code::usage);
    }
    manifest_result answer = read_manifest(text.str(), options.manifest_file, context.wall_now());
    if (answer.problems.empty()) {
        return succeed<exit_code>(std::move(answer.value));
    }
    for (const manifest_problem& problem : answer.problems) {
        print_problem(*context.errors, problem);
    }
    *context.errors << answer.problems.size() << (answer.problems.size() == 1 ? " error\n" : " errors\n");
    return fail<manifest>(exit_code::invalid);
}

void print_table(std::ostream& out, const std::vector<std::vector<std::string>>& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    for (const auto& row : rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column] + std::string(widths[column] - row[column].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << "\n";
    }
}

void print_change(std::ostream& out, const configuration& base, const configuration_change& change)
{
    for (const configuration_object& object : change.upserts) {
        const object_key key = key_of(object);
        const auto old = base.objects.find(key);
        const auto fields = fields_of(object);
        if (old == base.objects.end()) {
            out << "+ " << display_name(key) << "\n";
            continue;
        }
        const auto old_fields = fields_of(old->second);
        out << "~ " << display_name(key) << "\n";
        for (const auto& [name, value] : fields) {
            if (old_fields.at(name) != value) {
                out << "    " << name << ": " << old_fields.at(name) << " -> " << value << "\n";
            }
        }
    }
    for (const object_key& key : change.removals) {
        out << "- " << display_name(key) << "\n";
    }
}

json change_to_json(const configuration& base, const configuration_change& change)
{
    json value = json::parse(encode_change(change));
    value["base_version"] = base.version;
    return value;
}

} // namespace camphorknot::client::internal
