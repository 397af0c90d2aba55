#include "http_text.hpp"

#include <charconv>

namespace camphorknot::daemon_internal {
namespace {

std::optional<std::string> percent_decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] != '%') {
            decoded += text[index] == '+' ? ' ' : text[index];
            continue;
        }
        const std::string_view digits = text.substr(index + 1, 2);
        unsigned value = 0;
        const auto parsed = std::from_chars(digits.begin(), digits.end(), value, 16);
        if (digits.size() != 2 || parsed.ec != std::errc{} || parsed.ptr != digits.end()) {
            return std::nullopt;
        }
        decoded += static_cast<char>(value);
        index += 2;
    }
    return decoded;
}

} // namespace

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::optional<std::string> query_value(std::string_view target, std::string_view name)
{
    const std::size_t question = target.find('?');
    std::string_view query = question == std::string_view::npos ? "" : target.substr(question + 1);
    while (!query.empty()) {
        const std::size_t end = query.find('&');
        const std::string_view pair = query.substr(0, end);
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            return percent_decode(pair.substr(equals + 1));
        }
        query = end == std::string_view::npos ? "" : query.substr(end + 1);
    }
    return std::nullopt;
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.begin(), text.end(), value);
    if (parsed.ec != std::errc{} || parsed.ptr != text.end()) {
        return std::nullopt;
    }
    return value;
}

} // namespace camphorknot::daemon_internal
