#include <algorithm>

#include "validation.hpp"

namespace camphorknot::internal {
namespace {

struct reference_checker {
    const changed_view& view;
    object_key key;
    problem_list& problems;

    void add_problem(const char* field, const std::string& seen, const std::string& allowed) const
    {
        problems.push_back({change_error::unknown_reference, key, field, seen, allowed});
    }

    void require_object(object_kind kind, const char* field, const std::string& name) const
    {
        if (find(view, {kind, name}) == nullptr) {
            add_problem(field, name, "the name of a " + std::string(name_of(kind)) + " that exists");
        }
    }

    void check_location(const std::string& region, const std::string& failure_domain) const
    {
        require_object(object_kind::region, "region", region);
        const auto* domain = find<failure_domain_object>(view, object_kind::failure_domain, failure_domain);
        if (domain == nullptr) {
            require_object(object_kind::failure_domain, "failure_domain", failure_domain);
        } else if (domain->region != region) {
            add_problem("failure_domain", failure_domain, "a failure domain of region '" + region + "'");
        }
    }

    void operator()(const region_object&) const {}
    void operator()(const service_object&) const {}
    void operator()(const customer_object&) const {}
    void operator()(const failure_domain_object& object) const
    {
        require_object(object_kind::region, "region", object.region);
    }
    void operator()(const instance_object& object) const
    {
        check_location(object.region, object.failure_domain);
    }
    void operator()(const key_object& object) const
    {
        require_object(object_kind::customer, "customer", object.customer);
    }
    void operator()(const target_object& object) const
    {
        require_object(object_kind::service, "service", object.service);
        check_location(object.region, object.failure_domain);
    }
    void operator()(const region_limit_object& object) const
    {
        require_object(object_kind::service, "service", object.service);
        require_object(object_kind::region, "region", object.region);
    }
    void operator()(const move_progress_object& object) const
    {
        require_object(object_kind::move, "move", object.move);
    }
    void operator()(const allocation_object& object) const
    {
        require_object(object_kind::instance, "slot", object.slot);
    }
    void operator()(const link_object& object) const
    {
        require_object(object_kind::region, "from_region", object.from_region);
        require_object(object_kind::region, "to_region", object.to_region);
    }
    void operator()(const block_object& object) const
    {
        require_object(object_kind::site_set, "site_set", object.site_set);
    }
    void operator()(const site_set_object& object) const
    {
        for (const auto& site : object.sites) {
            require_object(object_kind::failure_domain, "sites.failure_domain", site.failure_domain);
        }
    }
    void operator()(const move_object& object) const
    {
        require_object(object_kind::service, "service", object.service);
        for (const std::string& address : object.targets) {
            const auto* target = find<target_object>(view, object_kind::target, address);
            if (target == nullptr || target->service != object.service) {
                add_problem("targets", address,
                            "the address of a target of service '" + object.service + "'");
            }
        }
    }
};

} // namespace

void check_references(const changed_view& view, const configuration_object& object, problem_list& problems)
{
    std::visit(reference_checker{view, key_of(object), problems}, object);
}

} // namespace camphorknot::internal
