#include <array>

#include "camphorknot/operations.hpp"

namespace camphorknot {
namespace {

constexpr std::size_t field_count = 6;
constexpr std::size_t field_digits = 16;
constexpr std::size_t mac_digits = 2 * std::tuple_size_v<ticket_mac>;
constexpr std::size_t fields_length = field_count * (field_digits + 1) - 1;
constexpr std::size_t text_length = fields_length + 1 + mac_digits;
constexpr char separator = '.';
constexpr std::string_view digits = "0123456789abcdef";

void append_hex(std::string& text, std::uint64_t value, std::size_t count)
{
    for (std::size_t digit = count; digit > 0; --digit) {
        text.push_back(digits[(value >> (4 * (digit - 1))) & 0xfU]);
    }
}

// Accepts lower-case digits only, so that each ticket has exactly one text form.
std::optional<std::uint64_t> parse_hex(std::string_view text)
{
    std::uint64_t value = 0;
    for (const char c : text) {
        const std::size_t digit = digits.find(c);
        if (digit == std::string_view::npos) {
            return std::nullopt;
        }
        value = (value << 4U) | digit;
    }
    return value;
}

std::array<std::uint64_t, field_count> fields_of(const ticket& value)
{
    return {value.instance.value, value.process_nonce,  value.epoch,
            value.sequence,       value.customer.value, value.route.value};
}

ticket ticket_of(const std::array<std::uint64_t, field_count>& fields)
{
    return {instance_id{fields[0]}, fields[1],          fields[2], fields[3],
            customer_id{fields[4]}, route_id{fields[5]}};
}

std::optional<ticket_mac> parse_mac(std::string_view text)
{
    ticket_mac mac{};
    for (std::size_t i = 0; i < mac.size(); ++i) {
        const auto byte = parse_hex(text.substr(2 * i, 2));
        if (!byte) {
            return std::nullopt;
        }
        mac[i] = static_cast<std::uint8_t>(*byte);
    }
    return mac;
}

} // namespace

std::string ticket_fields(const ticket& value)
{
    std::string text;
    text.reserve(text_length);
    for (const std::uint64_t field : fields_of(value)) {
        if (!text.empty()) {
            text.push_back(separator);
        }
        append_hex(text, field, field_digits);
    }
    return text;
}

std::string format_ticket(const ticket& value, const ticket_mac& mac)
{
    std::string text = ticket_fields(value);
    text.push_back(separator);
    for (const std::uint8_t byte : mac) {
        append_hex(text, byte, 2);
    }
    return text;
}

std::optional<parsed_ticket> parse_ticket(std::string_view text)
{
    if (text.size() != text_length) {
        return std::nullopt;
    }
    std::array<std::uint64_t, field_count> fields{};
    for (std::size_t i = 0; i < field_count; ++i) {
        const std::size_t start = i * (field_digits + 1);
        const auto field = parse_hex(text.substr(start, field_digits));
        if (!field || text[start + field_digits] != separator) {
            return std::nullopt;
        }
        fields[i] = *field;
    }
    const auto mac = parse_mac(text.substr(fields_length + 1));
    return mac ? std::optional(parsed_ticket{ticket_of(fields), *mac}) : std::nullopt;
}

} // namespace camphorknot
