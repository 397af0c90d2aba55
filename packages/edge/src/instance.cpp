#include "camphorknot/edge/instance.hpp"

#include <array>
#include <boost/asio/post.hpp>
#include <condition_variable>
#include <mutex>

#include "control.hpp"
#include "traffic.hpp"

namespace camphorknot::edge {

struct instance {
    explicit instance(edge_settings initial)
        : settings(std::move(initial)), metric_registry(make_metrics()), control(settings, *metric_registry),
          traffic(settings, *metric_registry)
    {
    }
    edge_settings settings;
    metrics_handle metric_registry;
    control_state control;
    traffic_state traffic;
    std::mutex stopped_mutex;
    std::condition_variable stopped_changed;
    bool stopped = false;
};

std::string_view name_of(instance_port port)
{
    constexpr std::array<std::string_view, 7> names = {"front",     "relay",   "peers", "directory",
                                                       "readiness", "metrics", "store"};
    return names.at(static_cast<std::size_t>(port));
}

void instance_deleter::operator()(instance* running) const
{
    join_traffic(running->traffic);
    join_control(running->control);
    delete running;
}

result<instance_handle, start_failure> start_instance(edge_settings settings)
{
    // The wall clock gives later starts on the same machine a higher incarnation.
    settings.identity.incarnation = static_cast<std::uint64_t>(wall_now());
    instance_handle handle(new instance(std::move(settings)));
    instance* const running = handle.get();
    running->control.publish = [running](traffic_view view) { post_view(running->traffic, std::move(view)); };
    running->traffic.on_report = [running](traffic_report report) {
        post_report(running->control, std::move(report));
    };
    running->control.take_token_for_peer = [running](std::string customer,
                                                     std::function<void(duration)> done) {
        post_owned_rate_token(running->traffic, std::move(customer), std::move(done));
    };
    running->control.on_crash_reports = [running](std::vector<steering::crash_report> reports) {
        post_crash_reports(running->traffic, std::move(reports));
    };
    running->control.on_token_answer = [running](const token_answer& answer) {
        post_token_answer(running->traffic, answer.id, answer.wait);
    };
    running->traffic.request_remote_token = [running](const std::string& rate_owner, std::uint64_t id,
                                                      std::string customer) {
        post_token_request(running->control, rate_owner, {id, std::move(customer), {}});
    };
    running->traffic.on_stopped = [running] {
        const std::lock_guard lock(running->stopped_mutex);
        running->stopped = true;
        running->stopped_changed.notify_all();
    };
    if (const auto failure = start_traffic(running->traffic)) {
        return fail<instance_handle>(*failure);
    }
    if (const auto failure = start_control(running->control)) {
        return fail<instance_handle>(*failure);
    }
    return succeed<start_failure>(std::move(handle));
}

void reload(instance& running, const edge_settings& settings)
{
    boost::asio::post(running.control.context, [&running, seeds = settings.seeds] {
        running.control.settings.seeds = seeds;
        for (const std::string& address : seeds) {
            if (address != running.settings.identity.peer_address) {
                add_peer(*running.control.peers, address);
            }
        }
    });
}

void begin_stop(instance& running)
{
    post_stop(running.control);
    post_stop(running.traffic);
}

bool wait_until_stopped(instance& running, duration limit)
{
    std::unique_lock lock(running.stopped_mutex);
    return running.stopped_changed.wait_for(lock, limit, [&] { return running.stopped; });
}

} // namespace camphorknot::edge
