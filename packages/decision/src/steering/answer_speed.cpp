#include "camphorknot/steering/answer_speed.hpp"

#include <algorithm>

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

} // namespace camphorknot::steering
