#include "command_parts.hpp"

namespace camphorknot::client::internal {
namespace {

constexpr unsigned http_accepted = 202;
// Every write of move progress by an instance in between costs one more attempt; a change by another operator
// ends the attempts.
constexpr int max_attempts = 8;

std::string join(const std::vector<std::string>& parts)
{
    std::string text;
    for (const std::string& part : parts) {
        text += (text.empty() ? "" : ", ") + part;
    }
    return text;
}

change_state parse_change_state(const json& body)
{
    change_state state;
    state.status = body.value("status", "");
    state.version = body.value("version", std::uint64_t{0});
    state.problems = body.value("problems", json::array());
    state.lagging = body.value("lagging_instances", std::vector<std::string>{});
    return state;
}

// Whether the change is part of the configuration in force; std::nullopt if that cannot be determined yet.
std::optional<bool> check_in_force(command_context& context, const configuration_change& change,
                                   const configuration& base)
{
    const auto current = get_configuration(context);
    if (!current) {
        return std::nullopt;
    }
    if (current->version <= base.version) {
        return std::nullopt; // The write to the table may still be in progress.
    }
    configuration goal = base;
    apply_change(goal, change);
    return same_operator_objects(goal, *current);
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

    exit_code report(const char* status, std::uint64_t version, const std::string& detail)
    {
        if (options.json) {
            *context.out << json{{"status", status}, {"version", version}, {"detail", detail}}.dump() << "\n";
        } else {
            *context.out << status << ": version " << version << (detail.empty() ? "" : "; " + detail)
                         << "\n";
        }
        return exit_code::done;
    }

    // Polls the configuration after a lost answer until it shows whether the change was made.
    exit_code resolve_lost_answer()
    {
        *context.errors << "the answer was lost; reading the configuration back\n";
        do {
            const auto in_force = check_in_force(context, change, base);
            if (in_force && *in_force) {
                return report("accepted", change.version, "found in the configuration in force");
            }
            if (in_force) {
                *context.errors
                    << "error: another change is in force; this one was not made or has been replaced\n";
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

    // Adopts the configuration in force as the new base if only instances have written since the base was
    // read. Returns false on a conflict.
    bool rebase(std::uint64_t present_version)
    {
        const auto current = get_configuration(context);
        if (options.expected_version || !current || !same_operator_objects(base, *current)) {
            *context.errors << "version_conflict: the change was made against version " << base.version
                            << ", present version " << present_version << "; nothing was changed\n";
            return false;
        }
        const std::uint64_t previous_version = base.version;
        base = *current;
        change.version = base.version + 1;
        return base.version > previous_version || pause();
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
            const std::string detail =
                state.lagging.empty() ? "in force everywhere" : "not yet on " + join(state.lagging);
            return report("accepted", state.version, detail);
        }
        return std::nullopt;
    }

    // Polls the instance that accepted the proposal until the change is complete or the time limit is
    // reached.
    exit_code poll_change(std::uint64_t change_number, const std::string& instance, bool& retry)
    {
        change_state last_state;
        do {
            const admin_answer answer = send_to(instance, context.admin.token, context.admin.timeout,
                                                {"GET", "/v1/changes/" + std::to_string(change_number), ""});
            const json body = json::parse(answer.body, nullptr, false);
            if (answer.state != delivery::answered || !body.is_object() || answer.code != 200) {
                return resolve_lost_answer();
            }
            last_state = parse_change_state(body);
            if (const auto finished = on_state(last_state, retry)) {
                return *finished;
            }
        } while (pause());
        if (last_state.status == "accepted") {
            *context.errors << "timed_out: version " << last_state.version
                            << " is accepted but not in force on " << join(last_state.lagging) << "\n";
            return exit_code::timed_out;
        }
        return resolve_lost_answer();
    }

    exit_code submit_once(bool& retry)
    {
        retry = false;
        const std::string target = "/v1/changes?expected_version=" + std::to_string(base.version);
        const admin_answer answer = send(context.admin, {"POST", target, encode_change(change)});
        if (answer.state == delivery::no_answer) {
            return resolve_lost_answer();
        }
        const json body = json::parse(answer.body, nullptr, false);
        if (answer.state != delivery::answered || answer.code != http_accepted || !body.is_object()) {
            return report_failure(context, answer);
        }
        return poll_change(body.value("change", std::uint64_t{0}), answer.instance, retry);
    }
};

} // namespace

exit_code submit_change(const command_options& options, command_context& context,
                        const configuration_change& change, const configuration& base)
{
    submission pending{options, context, change, base};
    exit_code code = exit_code::version_conflict;
    bool retry = true;
    for (int attempts = 0; retry && attempts < max_attempts; ++attempts) {
        code = pending.submit_once(retry);
    }
    return code;
}

} // namespace camphorknot::client::internal
