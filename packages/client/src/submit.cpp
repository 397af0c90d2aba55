#include "command_parts.hpp"

namespace camphorknot::client::internal {
namespace {

constexpr unsigned http_accepted = 202;
// Instances write the progress of moves in between; each costs one more try, an operator's change ends them.
constexpr int most_attempts = 8;

std::string join(const std::vector<std::string>& parts)
{
    std::string text;
    for (const std::string& part : parts) {
        text += (text.empty() ? "" : ", ") + part;
    }
    return text;
}

change_state read_state(const json& body)
{
    change_state state;
    state.status = body.value("status", "");
    state.version = body.value("version", std::uint64_t{0});
    state.problems = body.value("problems", json::array());
    state.lagging = body.value("lagging_instances", std::vector<std::string>{});
    return state;
}

// Whether the change is part of the configuration in force; nothing if that can't be told.
std::optional<bool> was_made(command_context& context, const configuration_change& change,
                             const configuration& base)
{
    const auto present = get_configuration(context);
    if (!present) {
        return std::nullopt;
    }
    if (present->version <= base.version) {
        return std::nullopt; // It may still be on its way to the table.
    }
    configuration goal = base;
    apply_change(goal, change);
    return same_operator_objects(goal, *present);
}

struct submission {
    const command_options& options;
    command_context& context;
    configuration_change change;
    configuration base;
    std::chrono::milliseconds waited{0};

    bool pause()
    {
        context.sleep(options.poll_period);
        waited += options.poll_period;
        return waited < options.wait_limit;
    }

    exit_code report(const char* status, std::uint64_t version, const std::string& more)
    {
        if (options.json) {
            *context.out << json{{"status", status}, {"version", version}, {"detail", more}}.dump() << "\n";
        } else {
            *context.out << status << ": version " << version << (more.empty() ? "" : "; " + more) << "\n";
        }
        return exit_code::done;
    }

    // The answer was lost: reads back until the configuration tells whether the change was made.
    exit_code resolve()
    {
        *context.errors << "the answer was lost; reading the configuration back\n";
        do {
            const auto made = was_made(context, change, base);
            if (made && *made) {
                return report("accepted", change.version, "found in the configuration in force");
            }
            if (made) {
                *context.errors
                    << "error: another change is in force; this one was not made, or was replaced\n";
                return exit_code::version_conflict;
            }
        } while (pause());
        *context.errors
            << "error: unknown whether the change was made; check with diff before applying again\n";
        return exit_code::unknown;
    }

    exit_code report_invalid(const change_state& state)
    {
        for (const json& problem : state.problems) {
            *context.errors << problem.value("kind", "") << " " << problem.value("name", "") << ": "
                            << problem.value("field", "") << ": " << problem.value("error", "") << ": seen '"
                            << problem.value("seen", "") << "'; allowed: " << problem.value("allowed", "")
                            << "\n";
        }
        return exit_code::invalid;
    }

    // Moves on to the version in force if only instances have written since the base was read.
    bool rebase(std::uint64_t present_version)
    {
        const auto present = get_configuration(context);
        if (options.expected_version || !present || !same_operator_objects(base, *present)) {
            *context.errors << "version_conflict: the change was made against version " << base.version
                            << ", present version " << present_version << "; nothing was changed\n";
            return false;
        }
        const std::uint64_t before = base.version;
        base = *present;
        change.version = base.version + 1;
        return base.version > before || pause();
    }

    std::optional<exit_code> on_state(const change_state& state, bool& retry)
    {
        if (state.status == "version_conflict") {
            retry = rebase(state.version);
            return exit_code::version_conflict;
        }
        if (state.status == "invalid") {
            return report_invalid(state);
        }
        if (state.status == "store_unavailable" || state.status == "authority_lost") {
            *context.errors << "error: " << state.status << "; nothing was changed, try again later\n";
            return exit_code::refused;
        }
        if (state.status == "accepted" && (state.lagging.empty() || !options.wait)) {
            const std::string where =
                state.lagging.empty() ? "in force everywhere" : "not yet on " + join(state.lagging);
            return report("accepted", state.version, where);
        }
        return std::nullopt;
    }

    // Follows one proposal to its end.
    exit_code follow(std::uint64_t number, const std::string& instance, bool& retry)
    {
        change_state last;
        do {
            const admin_answer answer = send_to(instance, context.admin.token, context.admin.timeout,
                                                {"GET", "/v1/changes/" + std::to_string(number), ""});
            const json body = json::parse(answer.body, nullptr, false);
            if (answer.state != delivery::answered || !body.is_object() || answer.code != 200) {
                return resolve();
            }
            last = read_state(body);
            if (const auto finished = on_state(last, retry)) {
                return *finished;
            }
        } while (pause());
        if (last.status == "accepted") {
            *context.errors << "timed_out: version " << last.version << " is accepted but not in force on "
                            << join(last.lagging) << "\n";
            return exit_code::timed_out;
        }
        return resolve();
    }

    exit_code attempt(bool& retry)
    {
        retry = false;
        const std::string target = "/v1/changes?expected_version=" + std::to_string(base.version);
        const admin_answer answer = send(context.admin, {"POST", target, encode_change(change)});
        if (answer.state == delivery::no_answer) {
            return resolve();
        }
        const json body = json::parse(answer.body, nullptr, false);
        if (answer.state != delivery::answered || answer.code != http_accepted || !body.is_object()) {
            return report_failure(context, answer);
        }
        return follow(body.value("change", std::uint64_t{0}), answer.instance, retry);
    }
};

} // namespace

exit_code submit_change(const command_options& options, command_context& context,
                        const configuration_change& change, const configuration& base)
{
    submission work{options, context, change, base};
    exit_code code = exit_code::version_conflict;
    bool retry = true;
    for (int tries = 0; retry && tries < most_attempts; ++tries) {
        code = work.attempt(retry);
    }
    return code;
}

} // namespace camphorknot::client::internal
