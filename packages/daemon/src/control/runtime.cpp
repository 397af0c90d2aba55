#include "camphorknot/daemon/runtime.hpp"

#include <openssl/rand.h>

#include "camphorknot/daemon/admin.hpp"
#include "camphorknot/daemon/control.hpp"
#include "camphorknot/kernel.hpp"
#include "camphorknot/transport.hpp"

namespace camphorknot {

struct runtime {
    daemon_settings settings;
    std::string fleet_secret;
    metrics_handle registry = make_metrics();
    std::atomic<control*> running_controller{nullptr}; ///< Null unless the control thread runs.
    control_handle controller;
    platform_client_handle platform;
    peer_network_handle peers;
    traffic_server_handle traffic;
    admin_server_handle admin;
    service_registry services;
    time_point next_list_read{};
};

namespace {

constexpr duration instance_list_period = std::chrono::seconds(1);

// Time for sending returned loans, allocations and the leave message to the peers. Peers that cannot be
// reached detect the stop by fencing this instance.
constexpr duration flush_timeout = std::chrono::seconds(1);

std::uint64_t random_number()
{
    std::uint64_t number = 0;
    if (RAND_bytes(static_cast<unsigned char*>(static_cast<void*>(&number)), sizeof number) != 1) {
        return mix_hash(static_cast<std::uint64_t>(wall_now()),
                        static_cast<std::uint64_t>(boot_now().time_since_epoch().count()));
    }
    return number;
}

void post_if_running(runtime& daemon, control_task task)
{
    control* active_controller = daemon.running_controller.load();
    if (active_controller != nullptr) {
        post(*active_controller, std::move(task));
    }
}

bool start_platform(runtime& daemon)
{
    auto started = start_platform_client(daemon.settings.platform, *daemon.registry);
    if (started) {
        daemon.platform = std::move(*started);
    }
    return daemon.platform != nullptr;
}

void receive(runtime& daemon, const envelope& message)
{
    post_if_running(daemon, [message](node& state, time_point now, node_output& out) {
        on_message(state, message, now, out);
    });
}

bool start_peers(runtime& daemon)
{
    peer_network_settings settings;
    settings.address = daemon.settings.peer_address;
    settings.fleet_secret = daemon.fleet_secret;
    settings.seed = random_number();
    daemon.peers = start_peer_network(
        settings, [&daemon](const envelope& message) { receive(daemon, message); }, *daemon.registry);
    return daemon.peers != nullptr;
}

control_outputs make_outputs(runtime& daemon)
{
    control_outputs outputs;
    outputs.send = [&daemon](const envelope& message) { send(*daemon.peers, message); };
    outputs.on_peer_address = [&daemon](const std::string& address) { note_peer(*daemon.peers, address); };
    outputs.call = [&daemon](const platform_call& call) {
        async_call(*daemon.platform, call, [&daemon](const platform_answer& answer) {
            post_if_running(daemon, [answer](node& state, time_point now, node_output& out) {
                on_platform_answer(state, answer, now, out);
            });
        });
    };
    return outputs;
}

void add_all_contacts(runtime& daemon, const std::vector<instance_contact>& contacts)
{
    for (const instance_contact& contact : contacts) {
        note_peer(*daemon.peers, contact.peer_address);
    }
    post_if_running(daemon, [contacts](node& state, time_point now, node_output&) {
        add_contacts(state, contacts, now);
    });
}

std::vector<instance_contact> settings_contacts(const daemon_settings& settings)
{
    std::vector<instance_contact> contacts;
    contacts.reserve(settings.contacts.size());
    for (const contact_settings& contact : settings.contacts) {
        contacts.push_back({make_id<instance_id>(contact.peer_address), make_id<region_id>(contact.region),
                            make_id<failure_domain_id>(contact.failure_domain), contact.peer_address});
    }
    return contacts;
}

bool start_node(runtime& daemon)
{
    node_settings settings;
    settings.peer_address = daemon.settings.peer_address;
    settings.traffic_address = daemon.settings.traffic_address;
    settings.region = daemon.settings.region;
    settings.failure_domain = daemon.settings.failure_domain;
    settings.process_nonce = random_number();
    settings.number = static_cast<incarnation>(wall_now());
    settings.seed = random_number();
    daemon.controller = start_control(settings, make_outputs(daemon), *daemon.registry);
    daemon.running_controller = daemon.controller.get();
    add_all_contacts(daemon, settings_contacts(daemon.settings));
    return true;
}

void stop_node(runtime& daemon)
{
    // The object is not destroyed: callbacks of the peer network and of the platform client may still use its
    // address.
    stop(*daemon.controller);
    daemon.running_controller = nullptr;
}

bool start_traffic(runtime& daemon)
{
    traffic_settings settings;
    settings.address = daemon.settings.traffic_address;
    settings.threads = daemon.settings.traffic_threads;
    settings.limits = daemon.settings.limits;
    settings.fleet_secret = daemon.fleet_secret;
    const control* active_controller = daemon.controller.get();
    const auto current = [active_controller] { return published_snapshot(*active_controller); };
    auto started = start_traffic_server(
        settings, bind_decisions(shared_traffic_state(*active_controller), current), *daemon.registry);
    if (started) {
        daemon.traffic = std::move(*started);
    }
    return daemon.traffic != nullptr;
}

bool start_admin(runtime& daemon)
{
    const admin_context context{daemon.controller.get(), daemon.registry.get(),
                                daemon.settings.operator_token_sha256, daemon.fleet_secret};
    auto started = start_admin_server(daemon.settings.admin_address, make_admin_handler(context));
    if (started) {
        daemon.admin = std::move(*started);
    }
    return daemon.admin != nullptr;
}

void read_instance_list(runtime& daemon, time_point now)
{
    if (now < daemon.next_list_read) {
        return;
    }
    daemon.next_list_read = now + instance_list_period;
    async_list_instances(*daemon.platform,
                         [&daemon](const std::optional<std::vector<instance_contact>>& list) {
                             if (list) {
                                 add_all_contacts(daemon, *list);
                             }
                         });
}

void register_all(runtime& daemon)
{
    service platform;
    platform.start = [&daemon] { return start_platform(daemon); };
    platform.tick = [&daemon](time_point now) { read_instance_list(daemon, now); };
    platform.stop = [&daemon] { daemon.platform.reset(); };
    service peers;
    peers.start = [&daemon] { return start_peers(daemon); };
    peers.stop = [&daemon] { daemon.peers.reset(); };
    service node;
    node.start = [&daemon] { return start_node(daemon); };
    node.stop = [&daemon] { stop_node(daemon); };
    service traffic;
    traffic.start = [&daemon] { return start_traffic(daemon); };
    traffic.stop = [&daemon] { daemon.traffic.reset(); };
    service admin;
    admin.start = [&daemon] { return start_admin(daemon); };
    admin.stop = [&daemon] { daemon.admin.reset(); };
    register_service(daemon.services, "platform", platform);
    register_service(daemon.services, "peers", peers);
    register_service(daemon.services, "node", node);
    register_service(daemon.services, "traffic", traffic);
    register_service(daemon.services, "admin", admin);
}

} // namespace

void runtime_deleter::operator()(runtime* daemon) const
{
    if (daemon != nullptr) {
        stop_services(daemon->services);
    }
    delete daemon;
}

result<runtime_handle, std::string> start_runtime(const daemon_settings& settings,
                                                  const std::string& fleet_secret)
{
    runtime_handle daemon(new runtime);
    daemon->settings = settings;
    daemon->fleet_secret = fleet_secret;
    register_all(*daemon);
    const std::string failed = start_services(daemon->services);
    if (!failed.empty()) {
        return fail<runtime_handle>(failed);
    }
    return succeed<std::string>(std::move(daemon));
}

void tick(runtime& daemon)
{
    tick_services(daemon.services, boot_now());
}

void begin_graceful_stop(runtime& daemon)
{
    begin_drain(*daemon.traffic);
    run_and_wait<bool>(*daemon.controller, [](node& state, time_point now, node_output&) {
        begin_stop(state, now);
        return true;
    });
}

bool may_stop_now(runtime& daemon)
{
    const std::size_t in_flight = requests_in_flight(*daemon.traffic);
    return run_and_wait<bool>(*daemon.controller, [in_flight](node& state, time_point now, node_output&) {
        return may_stop(state, in_flight, now);
    });
}

void finish_graceful_stop(runtime& daemon)
{
    // Traffic stops first: no request may use an allocation after it has been handed over.
    daemon.traffic.reset();
    run_and_wait<bool>(*daemon.controller, [](node& state, time_point now, node_output& out) {
        finish_stop(state, now, out);
        return true;
    });
    daemon.admin.reset();
    stop(*daemon.controller);
    flush(*daemon.peers, flush_timeout);
    stop_services(daemon.services);
}

} // namespace camphorknot
