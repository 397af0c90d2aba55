#include <charconv>
#include <chrono>
#include <cstdio>

#include "camphorknot/client/manifest.hpp"

namespace camphorknot::client {
namespace {

constexpr std::int64_t ms_per_second = 1000;

std::optional<std::int64_t> unit_seconds(char unit)
{
    constexpr std::int64_t minute = 60;
    constexpr std::int64_t hour = 3600;
    switch (unit) {
    case 's':
        return 1;
    case 'm':
        return minute;
    case 'h':
        return hour;
    default:
        return std::nullopt;
    }
}

std::optional<unix_milliseconds> parse_relative(std::string_view text, unix_milliseconds now)
{
    constexpr std::int64_t max_seconds = 366L * 24 * 3600;
    std::int64_t amount = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), amount);
    const bool one_unit = end + 1 == text.data() + text.size();
    const auto unit = one_unit ? unit_seconds(*end) : std::nullopt;
    if (error != std::errc{} || !unit || amount <= 0 || amount > max_seconds / *unit) {
        return std::nullopt;
    }
    return now + amount * *unit * ms_per_second;
}

// Offset from UTC in minutes of a time zone such as "Z" or "+08:00".
std::optional<int> parse_zone(const std::string& text)
{
    if (text == "Z" || text == "z") {
        return 0;
    }
    unsigned hours = 0;
    unsigned minutes = 0;
    char sign = 0;
    int consumed = 0;
    const int fields_read = std::sscanf(text.c_str(), "%c%2u:%2u%n", &sign, &hours, &minutes, &consumed);
    const bool complete =
        fields_read == 3 && static_cast<std::size_t>(consumed) == text.size() && text.size() == 6;
    if (!complete || (sign != '+' && sign != '-') || hours > 23 || minutes > 59) {
        return std::nullopt;
    }
    const int offset_minutes = static_cast<int>(hours * 60 + minutes);
    return sign == '+' ? offset_minutes : -offset_minutes;
}

// False for objects that instances write themselves and for those that operators change by other commands.
bool is_manifest_kind(object_kind kind)
{
    return kind != object_kind::key && kind != object_kind::move_progress && kind != object_kind::allocation;
}

bool is_written_by_instances(object_kind kind)
{
    return kind == object_kind::move_progress || kind == object_kind::allocation;
}

bool is_retained(const configuration& goal, const object_key& key)
{
    if (key.kind == object_kind::move_progress) {
        return goal.objects.contains({object_kind::move, key.name});
    }
    return key.kind != object_kind::allocation || goal.objects.contains({object_kind::instance, key.name});
}

void keep_existing_deadline(const configuration& base, move_object& move)
{
    const auto place = base.objects.find({object_kind::move, move.name});
    if (place == base.objects.end()) {
        return;
    }
    move_object with_existing_deadline = move;
    with_existing_deadline.deadline = std::get<move_object>(place->second).deadline;
    if (configuration_object(with_existing_deadline) == place->second) {
        move = with_existing_deadline;
    }
}

} // namespace

std::optional<unix_milliseconds> parse_deadline(const std::string& text, unix_milliseconds now)
{
    constexpr std::string_view relative = "in ";
    if (text.starts_with(relative)) {
        return parse_relative(std::string_view(text).substr(relative.size()), now);
    }
    int year = 0;
    unsigned month = 0;
    unsigned day = 0;
    unsigned hour = 0;
    unsigned minute = 0;
    unsigned second = 0;
    int consumed = 0;
    const int fields_read = std::sscanf(text.c_str(), "%4d-%2u-%2uT%2u:%2u:%2u%n", &year, &month, &day, &hour,
                                        &minute, &second, &consumed);
    constexpr std::size_t local_time_length = 19; // Length of a time such as 2027-03-01T18:00:00.
    if (fields_read != 6 || static_cast<std::size_t>(consumed) != local_time_length) {
        return std::nullopt;
    }
    const auto zone = parse_zone(text.substr(local_time_length));
    const std::chrono::year_month_day date{std::chrono::year(year), std::chrono::month(month),
                                           std::chrono::day(day)};
    if (!zone || !date.ok() || hour > 23 || minute > 59 || second > 59) {
        return std::nullopt;
    }
    const auto days = std::chrono::sys_days(date).time_since_epoch();
    const auto time = days + std::chrono::hours(hour) +
                      std::chrono::minutes(static_cast<int>(minute) - *zone) + std::chrono::seconds(second);
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

configuration_change plan_change(const configuration& base, const manifest& desired)
{
    configuration goal;
    for (configuration_object object : desired.objects.upserts) {
        if (auto* move = std::get_if<move_object>(&object)) {
            if (desired.relative_deadlines.contains(move->name)) {
                keep_existing_deadline(base, *move);
            }
        }
        object_key key = key_of(object);
        goal.objects.insert_or_assign(std::move(key), std::move(object));
    }
    for (const auto& [key, object] : base.objects) {
        if (!is_manifest_kind(key.kind) && is_retained(goal, key)) {
            goal.objects.emplace(key, object);
        }
    }
    return diff(base, goal);
}

bool same_operator_objects(const configuration& a, const configuration& b)
{
    const configuration_change change = diff(a, b);
    for (const configuration_object& object : change.upserts) {
        if (!is_written_by_instances(static_cast<object_kind>(object.index()))) {
            return false;
        }
    }
    for (const object_key& key : change.removals) {
        if (!is_written_by_instances(key.kind)) {
            return false;
        }
    }
    return true;
}

} // namespace camphorknot::client
