#include "camphorknot/steering/route_table.hpp"

#include <algorithm>

namespace camphorknot::steering {
namespace {

template <typename Map>
auto* find_or_null(const Map& map, std::string_view key)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : found->second;
}

std::string_view without_port(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

} // namespace

std::shared_ptr<const route_table> make_route_table(std::shared_ptr<const configuration> source)
{
    auto table = std::make_shared<route_table>();
    for (const route& entry : source->routes) {
        table->by_host[entry.host].push_back({entry.prefix, &entry});
    }
    for (auto& [host, entries] : table->by_host) {
        std::ranges::stable_sort(
            entries, [](const auto& a, const auto& b) { return a.prefix.size() > b.prefix.size(); });
    }
    for (const customer& entry : source->customers) {
        table->customers[entry.name] = &entry;
        for (const std::string& key : entry.keys) {
            table->by_key[key] = &entry;
        }
    }
    for (const service_policy& entry : source->services) {
        table->services[entry.name] = &entry;
    }
    table->source = std::move(source);
    return table;
}

const route* find_route(const route_table& table, std::string_view host, std::string_view path)
{
    const auto found = table.by_host.find(without_port(host));
    if (found == table.by_host.end()) {
        return nullptr;
    }
    path = path.substr(0, path.find('?'));
    for (const route_table::entry& entry : found->second) {
        if (path.starts_with(entry.prefix)) {
            return entry.matched;
        }
    }
    return nullptr;
}

const customer* find_customer(const route_table& table, std::string_view key)
{
    return find_or_null(table.by_key, key);
}

const service_policy* find_service_policy(const route_table& table, std::string_view service)
{
    return find_or_null(table.services, service);
}

} // namespace camphorknot::steering
