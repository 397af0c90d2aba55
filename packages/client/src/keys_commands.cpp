#include <sstream>

#include "command_parts.hpp"

namespace camphorknot::client::internal {
namespace {

or_exit<key_hash> request_key_hash(command_context& context, const std::string& key)
{
    const admin_answer answer = send(context.admin, {"POST", "/v1/key-hash", json{{"key", key}}.dump()});
    const json body = json::parse(answer.body, nullptr, false);
    if (answer.state != delivery::answered || !body.is_object() || !body.contains("hash")) {
        return fail<key_hash>(report_failure(context, answer));
    }
    const auto hash = parse_key_hash(body.value("hash", ""));
    return hash ? succeed<exit_code>(*hash) : fail<key_hash>(report_failure(context, answer));
}

std::string get_customer(const command_options& options)
{
    return options.arguments.size() == 2 ? options.arguments[1] : options.customer;
}

void show_key(const command_options& options, std::ostream& out, const key_object& object,
              const std::string& key, std::uint64_t version)
{
    const std::string hash = hex_of(object.hash);
    if (options.json) {
        out << json{{"customer", object.customer}, {"key", key}, {"hash", hash}, {"version", version}}.dump()
            << "\n";
        return;
    }
    out << "key: " << key << "\nhash: " << hash
        << "\nThe key is shown only now; the system keeps its hash.\n";
}

exit_code issue_key(const command_options& options, command_context& context)
{
    const std::string customer = get_customer(options);
    if (customer.empty()) {
        *context.errors << "error: keys issue needs the name of a customer\n";
        return exit_code::usage;
    }
    const auto base = get_configuration(context);
    if (!base) {
        return base.reason;
    }
    if (!base->objects.contains({object_kind::customer, customer})) {
        *context.errors << "error: no customer is called '" << customer << "'\n";
        return exit_code::invalid;
    }
    const std::string key = context.random_key();
    const auto hash = request_key_hash(context, key);
    if (!hash) {
        return hash.reason;
    }
    const key_object object{*hash, customer, options.label};
    const configuration_change change{base->version + 1, {object}, {}};
    // With --output json only the key is printed, so that the output is a single JSON document.
    std::ostringstream discarded_output;
    command_context submit_context = context;
    submit_context.out = options.json ? &discarded_output : context.out;
    const exit_code code = submit_change(options, submit_context, change, *base);
    if (code == exit_code::done || code == exit_code::timed_out || code == exit_code::unknown) {
        show_key(options, *context.out, object, key, change.version);
    }
    return code;
}

// The only key with the given label or hash prefix, or all keys of --customer.
or_exit<std::vector<key_object>> find_keys(const command_options& options, command_context& context,
                                           const configuration& base)
{
    const bool by_name = options.arguments.size() == 2;
    const std::string selector = by_name ? options.arguments[1] : options.customer;
    std::vector<key_object> matching_keys;
    for (const key_object& key : objects_of<key_object>(base)) {
        const bool is_selected = by_name && (hex_of(key.hash).starts_with(selector) || key.label == selector);
        if (is_selected || (!by_name && key.customer == selector)) {
            matching_keys.push_back(key);
        }
    }
    if (matching_keys.size() == 1 || (!by_name && !matching_keys.empty())) {
        return succeed<exit_code>(std::move(matching_keys));
    }
    *context.errors << "error: " << matching_keys.size() << " keys have the "
                    << (by_name ? "hash or label" : "customer") << " '" << selector << "'; one is needed\n";
    return fail<std::vector<key_object>>(exit_code::invalid);
}

exit_code raise_revocation_fact(command_context& context, const key_object& key)
{
    const std::string hash = hex_of(key.hash);
    const json fact{{"kind", "key_revoked"}, {"key", hash}, {"key_hash", hash}};
    const admin_answer answer = send(context.admin, {"POST", "/v1/facts", fact.dump()});
    constexpr unsigned http_first_failure = 300;
    if (answer.state == delivery::answered && answer.code < http_first_failure) {
        *context.out << "revoked: " << hash << "\n";
        return exit_code::done;
    }
    const exit_code code = report_failure(context, answer);
    *context.errors << "error: the key may still be valid; the command can be repeated safely\n";
    return code;
}

exit_code revoke_keys(const command_options& options, command_context& context)
{
    constexpr std::size_t min_prefix_length = 4;
    const bool by_name = options.arguments.size() == 2 && options.arguments[1].size() >= min_prefix_length;
    const bool by_customer = options.arguments.size() == 1 && !options.customer.empty();
    if (!by_name && !by_customer) {
        *context.errors << "error: keys revoke needs a label, at least 4 digits of a hash, or --customer\n";
        return exit_code::usage;
    }
    const auto base = get_configuration(context);
    if (!base) {
        return base.reason;
    }
    const auto keys = find_keys(options, context, *base);
    if (!keys) {
        return keys.reason;
    }
    // Raise the revocation facts before changing the configuration: they need no store and invalidate the
    // keys within seconds.
    configuration_change change{base->version + 1, {}, {}};
    for (const key_object& key : *keys) {
        if (const exit_code code = raise_revocation_fact(context, key); code != exit_code::done) {
            return code;
        }
        change.removals.push_back(key_of(key));
    }
    const exit_code code = submit_change(options, context, change, *base);
    if (code != exit_code::done) {
        *context.errors << "The keys are revoked. Their entries stay in the configuration until the command "
                           "is repeated.\n";
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
        return revoke_keys(options, context);
    }
    if (action == "list") {
        return list_keys(options, context);
    }
    *context.errors << "error: keys needs one of: issue, revoke, list\n";
    return exit_code::usage;
}

} // namespace camphorknot::client::internal
