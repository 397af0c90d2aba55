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
    constexpr std::int64_t longest_seconds = 366L * 24 * 3600;
    std::int64_t amount = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), amount);
    const bool one_unit = end + 1 == text.data() + text.size();
    const auto unit = one_unit ? unit_seconds(*end) : std::nullopt;
    if (error != std::errc{} || !unit || amount <= 0 || amount > longest_seconds / *unit) {
        return std::nullopt;
    }
    return now + amount * *unit * ms_per_second;
}

// Minutes that a zone such as "Z" or "+08:00" is ahead of UTC.
std::optional<int> parse_zone(const std::string& text)
{
    if (text == "Z" || text == "z") {
        return 0;
    }
    unsigned hours = 0;
    unsigned minutes = 0;
    char sign = 0;
    int used = 0;
    const int read = std::sscanf(text.c_str(), "%c%2u:%2u%n", &sign, &hours, &minutes, &used);
    const bool whole = read == 3 && static_cast<std::size_t>(used) == text.size() && text.size() == 6;
    if (!whole || (sign != '+' && sign != '-') || hours > 23 || minutes > 59) {
        return std::nullopt;
    }
    const int ahead = static_cast<int>(hours * 60 + minutes);
    return sign == '+' ? ahead : -ahead;
}

// Objects that instances write themselves, or that operators write by other commands.
bool in_manifest(object_kind kind)
{
    return kind != object_kind::key && kind != object_kind::move_progress && kind != object_kind::allocation;
}

bool written_by_instances(object_kind kind)
{
    return kind == object_kind::move_progress || kind == object_kind::allocation;
}

bool stays(const configuration& goal, const object_key& key)
{
    if (key.kind == object_kind::move_progress) {
        return goal.objects.contains({object_kind::move, key.name});
    }
    return key.kind != object_kind::allocation || goal.objects.contains({object_kind::instance, key.name});
}

void keep_deadline(const configuration& base, move_object& move)
{
    const auto place = base.objects.find({object_kind::move, move.name});
    if (place == base.objects.end()) {
        return;
    }
    move_object with_old = move;
    with_old.deadline = std::get<move_object>(place->second).deadline;
    if (configuration_object(with_old) == place->second) {
        move = with_old;
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
    int used = 0;
    const int read = std::sscanf(text.c_str(), "%4d-%2u-%2uT%2u:%2u:%2u%n", &year, &month, &day, &hour,
                                 &minute, &second, &used);
    constexpr std::size_t seconds_form = 19; // As in 2027-03-01T18:00:00.
    if (read != 6 || static_cast<std::size_t>(used) != seconds_form) {
        return std::nullopt;
    }
    const auto zone = parse_zone(text.substr(seconds_form));
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

configuration_change plan_change(const configuration& base, const manifest& wanted)
{
    configuration goal;
    for (configuration_object object : wanted.objects.upserts) {
        if (auto* move = std::get_if<move_object>(&object)) {
            if (wanted.relative_deadlines.contains(move->name)) {
                keep_deadline(base, *move);
            }
        }
        object_key key = key_of(object);
        goal.objects.insert_or_assign(std::move(key), std::move(object));
    }
    for (const auto& [key, object] : base.objects) {
        if (!in_manifest(key.kind) && stays(goal, key)) {
            goal.objects.emplace(key, object);
        }
    }
    return diff(base, goal);
}

bool same_operator_objects(const configuration& a, const configuration& b)
{
    const configuration_change change = diff(a, b);
    for (const configuration_object& object : change.upserts) {
        if (!written_by_instances(static_cast<object_kind>(object.index()))) {
            return false;
        }
    }
    for (const object_key& key : change.removals) {
        if (!written_by_instances(key.kind)) {
            return false;
        }
    }
    return true;
}

} // namespace camphorknot::client
