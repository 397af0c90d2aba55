#include "command_parts.hpp"

namespace camphorknot::client::internal {
namespace {

or_exit<key_hash> hash_of_key(command_context& context, const std::string& key)
{
    const admin_answer answer = send(context.admin, {"POST", "/v1/key-hash", json{{"key", key}}.dump()});
    const json body = json::parse(answer.body, nullptr, false);
    if (answer.state != delivery::answered || !body.is_object() || !body.contains("hash")) {
        return fail<key_hash>(report_failure(context, answer));
    }
    const auto hash = key_hash_in(body.value("hash", ""));
    return hash ? succeed<exit_code>(*hash) : fail<key_hash>(report_failure(context, answer));
}

exit_code issue_key(const command_options& options, command_context& context)
{
    if (options.customer.empty()) {
        *context.errors << "error: keys issue needs --customer\n";
        return exit_code::usage;
    }
    const auto base = get_configuration(context);
    if (!base) {
        return base.reason;
    }
    const std::string key = context.random_key();
    const auto hash = hash_of_key(context, key);
    if (!hash) {
        return hash.reason;
    }
    configuration_change change{base->version + 1, {key_object{*hash, options.customer, options.label}}, {}};
    if (!base->objects.contains({object_kind::customer, options.customer})) {
        *context.errors << "error: no customer is called '" << options.customer << "'\n";
        return exit_code::invalid;
    }
    const exit_code code = submit_change(options, context, change, *base);
    const bool may_exist =
        code == exit_code::done || code == exit_code::timed_out || code == exit_code::unknown;
    if (may_exist && options.json) {
        *context.out << json{{"customer", options.customer}, {"key", key}, {"hash", hex_of(*hash)}}.dump()
                     << "\n";
    } else if (may_exist) {
        *context.out << "key: " << key << "\nhash: " << hex_of(*hash)
                     << "\nThe key is shown only now; the system keeps its hash.\n";
    }
    return code;
}

// The one key whose hash begins with @p prefix, or whose label is @p prefix.
or_exit<key_object> find_key(command_context& context, const configuration& base, const std::string& prefix)
{
    std::vector<key_object> found;
    for (const key_object& key : objects_of<key_object>(base)) {
        if (hex_of(key.hash).starts_with(prefix) || key.label == prefix) {
            found.push_back(key);
        }
    }
    if (found.size() == 1) {
        return succeed<exit_code>(found.front());
    }
    *context.errors << "error: " << found.size() << " keys have the hash or label '" << prefix
                    << "'; one is needed\n";
    return fail<key_object>(exit_code::invalid);
}

exit_code revoke_key(const command_options& options, command_context& context)
{
    constexpr std::size_t shortest_prefix = 4;
    if (options.arguments.size() != 2 || options.arguments[1].size() < shortest_prefix) {
        *context.errors << "error: keys revoke needs a label, or at least 4 digits of a hash\n";
        return exit_code::usage;
    }
    const auto base = get_configuration(context);
    if (!base) {
        return base.reason;
    }
    const auto key = find_key(context, *base, options.arguments[1]);
    if (!key) {
        return key.reason;
    }
    // The fact comes first: it needs no store, and stops the key within seconds.
    const std::string hash = hex_of(key->hash);
    const json fact{{"kind", "key_revoked"}, {"key", hash}, {"key_hash", hash}};
    const admin_answer raised = send(context.admin, {"POST", "/v1/facts", fact.dump()});
    if (raised.state != delivery::answered || raised.code >= 300) {
        const exit_code code = report_failure(context, raised);
        *context.errors << "error: the key may still work; repeat the command, which does no harm\n";
        return code;
    }
    *context.out << "revoked: " << hash << "\n";
    const configuration_change change{base->version + 1, {}, {key_of(*key)}};
    const exit_code code = submit_change(options, context, change, *base);
    if (code != exit_code::done) {
        *context.errors << "The key no longer works. Its entry stays until the command is repeated.\n";
    }
    return code;
}

exit_code list_keys(const command_options& options, command_context& context)
{
    const auto base = get_configuration(context);
    if (!base) {
        return base.reason;
    }
    std::vector<std::vector<std::string>> rows{{"CUSTOMER", "LABEL", "HASH"}};
    json list = json::array();
    for (const key_object& key : objects_of<key_object>(*base)) {
        rows.push_back({key.customer, key.label, hex_of(key.hash)});
        list.push_back({{"customer", key.customer}, {"label", key.label}, {"hash", hex_of(key.hash)}});
    }
    if (options.json) {
        *context.out << list.dump() << "\n";
    } else {
        print_table(*context.out, rows);
    }
    return exit_code::done;
}

} // namespace

exit_code run_keys_command(const command_options& options, command_context& context)
{
    const std::string action = options.arguments.empty() ? "" : options.arguments.front();
    if (action == "issue") {
        return issue_key(options, context);
    }
    if (action == "revoke") {
        return revoke_key(options, context);
    }
    if (action == "list") {
        return list_keys(options, context);
    }
    *context.errors << "error: keys needs one of: issue, revoke, list\n";
    return exit_code::usage;
}

} // namespace camphorknot::client::internal
