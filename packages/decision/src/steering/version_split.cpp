#include "camphorknot/steering/version_split.hpp"

#include <algorithm>

namespace camphorknot::steering {
namespace {

// Limits the burst after a time in which no target of the next version had room.
constexpr double max_credit = 2;
constexpr double cost_of_request = 1;

} // namespace

version_split start_split(double phase, double share)
{
    return {phase + share};
}

bool is_next_version_due(const version_split& split, double share)
{
    return share >= 1 || (share > 0 && split.credit >= cost_of_request);
}

void on_sent_to_next_version(version_split& split)
{
    split.credit = std::max(split.credit - cost_of_request, -max_credit);
}

void on_request_sent(version_split& split, double share)
{
    split.credit = std::min(split.credit + share, max_credit);
}

void on_request_returned(version_split& split, double share)
{
    split.credit = std::max(split.credit - share, -max_credit);
}

} // namespace camphorknot::steering
