#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <gflags/gflags.h>
#include <openssl/rand.h>

#include "camphorknot/client/commands.hpp"

DEFINE_string(instances, "127.0.0.1:7301", "admin addresses of instances, ip:port, separated by commas");
DEFINE_string(token_file, "", "file with the operator's token");
DEFINE_int32(timeout_ms, 3000, "timeout for the answer of one instance, in milliseconds");
DEFINE_string(manifest, "manifest.yaml", "file with the manifest");
DEFINE_string(output, "table", "table or json");
DEFINE_int64(expected_version, -1,
             "apply: refuse unless this version is in force; -1: the version of the diff");
DEFINE_bool(wait, true, "apply, keys: wait until the change is in force on all live instances");
DEFINE_int32(wait_limit_s, 60, "maximum time to wait, in seconds");
DEFINE_string(customer, "", "keys issue, keys revoke: customer that the keys belong to");
DEFINE_string(from, "",
              "failures: start of the time range, as in the log lines, such as 2026-01-31T08:00:00");
DEFINE_string(to, "", "failures: end of the time range");
DEFINE_string(label, "", "keys issue: label of the key in lists");

namespace {

using namespace camphorknot::client;

constexpr const char* usage =
    "operates a camphorknot fleet\n\n"
    "camphorknotctl COMMAND [ARGUMENTS] [FLAGS]\n\n"
    "  validate [FILE]       check the manifest; lists every error\n"
    "  diff [FILE]           show what apply would change; exit code 3 if there are changes\n"
    "  apply [FILE]          apply the manifest, unless the configuration changed in between\n"
    "  export                print the configuration in force as JSON\n"
    "  status                instances, regions, targets, customers, and instances that lag behind\n"
    "  moves                 planned moves and their stages\n"
    "  watch MOVE            follow a move until it is done or rolled back\n"
    "  watch version NUMBER  wait until a version is in force everywhere\n"
    "  keys issue CUSTOMER   create a key; it is shown only once\n"
    "  keys revoke KEY       revoke the key with this label or hash prefix\n"
    "  keys revoke           revoke all keys of --customer\n"
    "  keys list             labels and hashes of the keys, by customer\n"
    "  explain ID FILE...    show the log lines of one request, from several instances, and its cause\n"
    "  failures FILE...      count refusals, failed sends and lost dependencies, from --from to "
    "--to\n\n"
    "Exit codes: 0 done, 1 usage, 2 invalid, 3 differs, 4 version_conflict, 5 unreachable, 6 refused,\n"
    "7 rolled_back, 8 timed_out, 9 unknown. The flags are listed by --helpshort.";

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

std::string random_key()
{
    constexpr std::size_t key_bytes = 24;
    constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, key_bytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        std::cerr << "error: cannot generate random bytes\n";
        std::abort();
    }
    std::string key = "ck_";
    for (const unsigned char byte : bytes) {
        key += digits[byte >> 4U];
        key += digits[byte & 0xfU];
    }
    return key;
}

// The token comes from a file, because command-line arguments are visible in process lists.
std::optional<std::string> read_token()
{
    if (FLAGS_token_file.empty()) {
        return "";
    }
    std::ifstream in(FLAGS_token_file);
    std::string token;
    return std::getline(in, token) ? std::optional(token) : std::nullopt;
}

command_options parse_options(int argc, char** argv)
{
    command_options options;
    options.command = argc > 1 ? argv[1] : "";
    for (int index = 2; index < argc; ++index) {
        options.arguments.emplace_back(argv[index]);
    }
    options.manifest_file = FLAGS_manifest;
    const bool takes_manifest =
        options.command == "validate" || options.command == "diff" || options.command == "apply";
    if (takes_manifest && !options.arguments.empty()) {
        options.manifest_file = options.arguments.front();
    }
    options.json = FLAGS_output == "json";
    if (FLAGS_expected_version >= 0) {
        options.expected_version = static_cast<std::uint64_t>(FLAGS_expected_version);
    }
    options.wait = FLAGS_wait;
    options.wait_limit = std::chrono::seconds(FLAGS_wait_limit_s);
    options.customer = FLAGS_customer;
    options.label = FLAGS_label;
    options.from = FLAGS_from;
    options.to = FLAGS_to;
    return options;
}

camphorknot::unix_milliseconds wall_now()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

int report_usage_error(const std::string& message)
{
    std::cerr << "error: " << message << "\n";
    return static_cast<int>(exit_code::usage);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(usage);
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc < 2) {
        std::cerr << "camphorknotctl: " << usage << "\n";
        return static_cast<int>(exit_code::usage);
    }
    if (FLAGS_output != "table" && FLAGS_output != "json") {
        return report_usage_error("--output is '" + FLAGS_output + "'; allowed: table, json");
    }
    const auto token = read_token();
    if (!token) {
        return report_usage_error("cannot read a token from " + FLAGS_token_file);
    }
    command_context context;
    context.admin = {split(FLAGS_instances), *token, std::chrono::milliseconds(FLAGS_timeout_ms)};
    context.out = &std::cout;
    context.errors = &std::cerr;
    context.wall_now = wall_now;
    context.sleep = [](std::chrono::milliseconds span) { std::this_thread::sleep_for(span); };
    context.random_key = random_key;
    return static_cast<int>(run_command(parse_options(argc, argv), context));
}
