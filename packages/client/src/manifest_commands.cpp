#include "command_parts.hpp"

namespace camphorknot::client::internal {
namespace {

exit_code run_validate(const command_options& options, command_context& context)
{
    const auto desired = load_manifest(options, context);
    if (!desired) {
        return desired.reason;
    }
    *context.out << options.manifest_file << ": valid, " << desired->objects.upserts.size() << " objects\n";
    return exit_code::done;
}

void show_plan(const command_options& options, command_context& context, const configuration& base,
               const configuration_change& change)
{
    if (options.json) {
        *context.out << change_to_json(base, change).dump() << "\n";
        return;
    }
    print_change(*context.out, base, change);
    *context.out << "against version " << base.version << ": " << change.upserts.size()
                 << " added or changed, " << change.removals.size() << " removed\n";
}

bool is_empty(const configuration_change& change)
{
    return change.upserts.empty() && change.removals.empty();
}

// Reports problems that arise only in combination with the configuration in force, such as removing a
// customer that still has keys.
exit_code report_problems(command_context& context, const std::vector<change_problem>& problems)
{
    for (const change_problem& problem : problems) {
        *context.errors << name_of(problem.object.kind) << " " << problem.object.name << ": " << problem.field
                        << ": " << name_of(problem.error) << ": seen '" << problem.seen
                        << "'; allowed: " << problem.allowed << "\n";
    }
    return exit_code::invalid;
}

exit_code run_diff(const command_options& options, command_context& context)
{
    const auto desired = load_manifest(options, context);
    if (!desired) {
        return desired.reason;
    }
    const auto base = get_configuration(context);
    if (!base) {
        return base.reason;
    }
    const configuration_change change = plan_change(*base, *desired);
    show_plan(options, context, *base, change);
    if (const auto problems = validate(*base, change); !problems.empty()) {
        return report_problems(context, problems);
    }
    return is_empty(change) ? exit_code::done : exit_code::differs;
}

exit_code run_apply(const command_options& options, command_context& context)
{
    const auto desired = load_manifest(options, context);
    if (!desired) {
        return desired.reason;
    }
    const auto base = get_configuration(context);
    if (!base) {
        return base.reason;
    }
    if (options.expected_version && *options.expected_version != base->version) {
        *context.errors << "version_conflict: expected version " << *options.expected_version
                        << ", present version " << base->version << "; nothing was changed\n";
        return exit_code::version_conflict;
    }
    const configuration_change change = plan_change(*base, *desired);
    show_plan(options, context, *base, change);
    if (is_empty(change)) {
        return exit_code::done;
    }
    if (const auto problems = validate(*base, change); !problems.empty()) {
        return report_problems(context, problems);
    }
    return submit_change(options, context, change, *base);
}

exit_code run_export(const command_options&, command_context& context)
{
    const auto current = get_configuration(context);
    if (!current) {
        return current.reason;
    }
    *context.out << encode_snapshot(*current) << "\n";
    return exit_code::done;
}

} // namespace

exit_code run_manifest_command(const command_options& options, command_context& context)
{
    if (options.command == "validate") {
        return run_validate(options, context);
    }
    if (options.command == "diff") {
        return run_diff(options, context);
    }
    return options.command == "apply" ? run_apply(options, context) : run_export(options, context);
}

} // namespace camphorknot::client::internal
