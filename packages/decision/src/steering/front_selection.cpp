#include "camphorknot/steering/front_selection.hpp"

#include <algorithm>
#include <functional>
#include <limits>

namespace camphorknot::steering {
namespace {

// Utilization of the weakest of `count` instances among which callers choose with equal probability.
double weakest_utilization(std::uint32_t cpu_millicores, std::size_t count, double requests_per_s,
                           const front_selection_tuning& tuning)
{
    const double cores = cpu_millicores / 1000.0;
    const double needed = requests_per_s * std::chrono::duration<double>(tuning.cpu_per_request).count();
    return cores > 0 ? needed / static_cast<double>(count) / cores : std::numeric_limits<double>::infinity();
}

} // namespace

std::vector<instance_contact> select_fronts(std::vector<instance_contact> contacts, double requests_per_s,
                                            const front_selection_tuning& tuning)
{
    std::vector<std::uint32_t> strengths;
    strengths.reserve(contacts.size());
    for (const instance_contact& contact : contacts) {
        strengths.push_back(contact.cpu_millicores);
    }
    std::ranges::sort(strengths, std::greater{});
    std::uint32_t weakest_selected = 0;
    double lowest = std::numeric_limits<double>::infinity();
    for (std::size_t count = 1; count <= strengths.size(); ++count) {
        const std::uint32_t weakest = strengths[count - 1];
        const bool class_continues = count < strengths.size() && strengths[count] == weakest;
        if (class_continues || count < std::min(tuning.min_instances, strengths.size())) {
            continue;
        }
        const double utilization = weakest_utilization(weakest, count, requests_per_s, tuning);
        if (utilization < lowest) {
            lowest = utilization;
            weakest_selected = weakest;
        }
        if (utilization <= tuning.max_utilization) {
            break;
        }
    }
    std::erase_if(contacts,
                  [&](const instance_contact& contact) { return contact.cpu_millicores < weakest_selected; });
    contacts.resize(std::min(contacts.size(), tuning.max_instances));
    return contacts;
}

} // namespace camphorknot::steering
