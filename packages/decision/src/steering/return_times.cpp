#include "camphorknot/steering/return_times.hpp"

#include <algorithm>

namespace camphorknot::steering {
namespace {

// Lower bound, used before the first completion.
constexpr double min_room_per_s = 2;
// Part of the honoured time over which callers are spread for which there is no room.
constexpr double no_room_spread = 0.4;

void remove_lapsed(return_ledger& ledger, const return_tuning& tuning, time_point now)
{
    std::erase_if(ledger.promises,
                  [&](const return_promise& promise) { return promise.at + tuning.late_margin < now; });
}

duration scaled_by(duration value, double factor)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value) * factor);
}

// Whether those that return by `at` and one more find room until then.
bool has_room(const return_ledger& ledger, const return_tuning& tuning, const return_room& room,
              time_point now, time_point at)
{
    const auto promised =
        std::ranges::upper_bound(ledger.promises, at, {}, &return_promise::at) - ledger.promises.begin();
    const double seconds = std::chrono::duration<double>(at - now - room.first).count();
    const double places = std::max(min_room_per_s, room.per_s) * tuning.promised_fraction * seconds;
    return static_cast<double>(promised) + 1 <= places;
}

} // namespace

duration promise_return(return_ledger& ledger, const return_tuning& tuning, std::uint64_t request,
                        duration time_left, const return_room& room, time_point now, double jitter)
{
    remove_lapsed(ledger, tuning, now);
    const duration limit = std::max(duration{}, scaled_by(time_left, tuning.max_fraction));
    const duration spread = scaled_by(tuning.interval, jitter);
    duration delay = std::max(tuning.min_delay, room.first) + spread;
    while (delay < limit && !has_room(ledger, tuning, room, now, now + delay)) {
        delay += tuning.interval;
    }
    if (delay >= limit) {
        // No time that the caller honours has room. Spread, so that those in this case do not return
        // together.
        delay = scaled_by(limit, 1 - no_room_spread * jitter);
    }
    if (ledger.promises.size() < tuning.max_promises) {
        const return_promise promise{request, now + delay};
        ledger.promises.insert(std::ranges::upper_bound(ledger.promises, promise.at, {}, &return_promise::at),
                               promise);
    }
    return delay;
}

return_kind take_return(return_ledger& ledger, const return_tuning& tuning, std::uint64_t request,
                        time_point now)
{
    remove_lapsed(ledger, tuning, now);
    const auto promise = std::ranges::find(ledger.promises, request, &return_promise::request);
    if (promise == ledger.promises.end()) {
        return return_kind::first;
    }
    const bool is_early = now < promise->at - tuning.early_margin;
    ledger.promises.erase(promise);
    return is_early ? return_kind::early : return_kind::in_time;
}

} // namespace camphorknot::steering
