#include <array>
#include <charconv>

#include "camphorknot/configuration/store.hpp"

namespace camphorknot {
namespace {

// Indexed by object_kind.
constexpr std::array<std::string_view, 14> kind_names = {
    "region",       "failure_domain", "instance", "service", "customer", "key",           "target",
    "region_limit", "link",           "move",     "block",   "site_set", "move_progress", "allocation"};

struct name_visitor {
    std::string operator()(const instance_object& object) const { return object.peer_address; }
    std::string operator()(const target_object& object) const { return object.address; }
    std::string operator()(const key_object& object) const { return hex_of(object.hash); }
    std::string operator()(const block_object& object) const { return text_of(object); }
    std::string operator()(const region_limit_object& object) const
    {
        return object.service + "/" + object.region;
    }
    std::string operator()(const link_object& object) const
    {
        return object.from_region + "/" + object.to_region;
    }
    std::string operator()(const move_progress_object& object) const { return object.move; }
    std::string operator()(const allocation_object& object) const { return object.slot; }
    template <typename Object>
    std::string operator()(const Object& object) const
    {
        return object.name;
    }
};

std::optional<std::uint8_t> hex_digit(char c)
{
    if (c >= '0' && c <= '9') {
        return static_cast<std::uint8_t>(c - '0');
    }
    if (c >= 'a' && c <= 'f') {
        return static_cast<std::uint8_t>(c - 'a' + 10);
    }
    return std::nullopt;
}

// Removes a decimal number of at most @p max_value from the front of @p text and returns it.
std::optional<std::uint32_t> consume_number(std::string_view& text, std::uint32_t max_value)
{
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || value > max_value) {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    return value;
}

bool consume_character(std::string_view& text, char expected)
{
    if (text.empty() || text.front() != expected) {
        return false;
    }
    text.remove_prefix(1);
    return true;
}

} // namespace

std::string_view name_of(object_kind kind)
{
    return kind_names[static_cast<std::size_t>(kind)];
}

std::optional<object_kind> parse_object_kind(std::string_view name)
{
    for (std::size_t index = 0; index < kind_names.size(); ++index) {
        if (kind_names[index] == name) {
            return static_cast<object_kind>(index);
        }
    }
    return std::nullopt;
}

std::string_view name_of(change_error error)
{
    constexpr std::array<std::string_view, 8> names = {
        "none",           "malformed_text",    "version_gap",
        "version_older",  "unknown_reference", "value_out_of_range",
        "name_collision", "route_conflict"};
    return names[static_cast<std::size_t>(error)];
}

object_key key_of(const configuration_object& object)
{
    // The alternatives of configuration_object are in the order of object_kind.
    static_assert(std::variant_size_v<configuration_object> == kind_names.size());
    return {static_cast<object_kind>(object.index()), std::visit(name_visitor{}, object)};
}

route_id route_id_of(std::string_view service, std::string_view route)
{
    return make_id<route_id>(std::string(service) + "/" + std::string(route));
}

std::string hex_of(const key_hash& hash)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(hash.size() * 2);
    for (const std::uint8_t byte : hash) {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 0xfU]);
    }
    return text;
}

std::optional<key_hash> parse_key_hash(std::string_view text)
{
    key_hash hash{};
    if (text.size() != hash.size() * 2) {
        return std::nullopt;
    }
    for (std::size_t index = 0; index < hash.size(); ++index) {
        const auto high = hex_digit(text[2 * index]);
        const auto low = hex_digit(text[2 * index + 1]);
        if (!high || !low) {
            return std::nullopt;
        }
        hash[index] = static_cast<std::uint8_t>(*high << 4U | *low);
    }
    return hash;
}

std::string text_of(const block_object& block)
{
    std::string text;
    for (unsigned shift = 24;; shift -= 8) {
        text += std::to_string((block.network >> shift) & 0xffU);
        if (shift == 0) {
            break;
        }
        text += '.';
    }
    return text + "/" + std::to_string(block.prefix_length);
}

std::optional<block_object> parse_block(std::string_view text)
{
    constexpr std::uint32_t max_octet = 255;
    constexpr std::uint32_t max_prefix_length = 32;
    block_object block;
    for (int octet = 0; octet < 4; ++octet) {
        const auto value = consume_number(text, max_octet);
        if (!value || !consume_character(text, octet == 3 ? '/' : '.')) {
            return std::nullopt;
        }
        block.network = block.network << 8U | *value;
    }
    const auto prefix = consume_number(text, max_prefix_length);
    if (!prefix || !text.empty()) {
        return std::nullopt;
    }
    block.prefix_length = static_cast<std::uint8_t>(*prefix);
    return block;
}

} // namespace camphorknot
