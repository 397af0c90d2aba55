#include "camphorknot/steering/answer_speed.hpp"

#include <algorithm>
#include <functional>

namespace camphorknot::steering {
namespace {

duration scaled(duration time, double factor)
{
    return duration(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

} // namespace

void on_comparable_answer(answer_speed& speed, const slowness_tuning& tuning, duration service_time)
{
    speed.answers = std::min(speed.answers + 1, tuning.min_answers);
    const double weight = std::max(tuning.weight, 1.0 / speed.answers);
    speed.mean += scaled(service_time - speed.mean, weight);
}

duration slow_answer_time(const answer_speed& speed, const slowness_tuning& tuning, duration miss_time,
                          bool is_comparable)
{
    const duration slow_miss = scaled(miss_time, tuning.factor);
    if (!is_comparable || speed.answers < tuning.min_answers) {
        return slow_miss;
    }
    return std::min(slow_miss, scaled(speed.mean, tuning.factor) + tuning.tolerance);
}

void on_answer(recent_answers& recent, duration service_time)
{
    recent.times.at(recent.count % recent_answers::capacity) = service_time;
    ++recent.count;
}

duration longest_usual_time(const recent_answers& recent)
{
    constexpr std::uint64_t few = 8;
    std::array<duration, recent_answers::capacity> times = recent.times;
    const std::uint64_t known = std::min<std::uint64_t>(recent.count, times.size());
    const std::size_t rank = known < few ? 0 : 1;
    const auto wanted = times.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(times.begin(), wanted, times.end(), std::greater<>());
    return *wanted;
}

duration judgement_age(const answer_speed& speed, const recent_answers& recent, const slowness_tuning& tuning,
                       duration miss_time, bool is_comparable)
{
    const duration slow = slow_answer_time(speed, tuning, miss_time, is_comparable);
    if (recent.count < tuning.min_recent_answers) {
        return slow;
    }
    const duration usual = longest_usual_time(recent);
    const duration early = std::max(scaled(miss_time, tuning.judged_miss_factor),
                                    scaled(usual, tuning.min_judged_factor) + tuning.tolerance);
    const duration age = std::min(scaled(usual, tuning.judged_factor) + tuning.tolerance, early);
    return is_comparable ? std::min(age, slow) : age;
}

} // namespace camphorknot::steering
