#include "camphorknot/edge/instance.hpp"

#include <boost/asio/post.hpp>
#include <condition_variable>
#include <mutex>

#include "control.hpp"
#include "traffic.hpp"

namespace camphorknot::edge {

struct instance {
    explicit instance(edge_settings used)
        : settings(std::move(used)), page(make_metrics()), control_state(settings, *page),
          traffic_state(settings, *page)
    {
    }
    edge_settings settings;
    metrics_handle page;
    control control_state;
    traffic traffic_state;
    std::mutex guard;
    std::condition_variable changed;
    bool stopped = false;
};

void instance_deleter::operator()(instance* running) const
{
    join_traffic(running->traffic_state);
    join_control(running->control_state);
    delete running;
}

result<instance_handle, std::string> start_instance(edge_settings settings)
{
    // Later starts on the same machine have a higher incarnation.
    settings.identity.incarnation = static_cast<std::uint64_t>(wall_now());
    instance_handle made(new instance(std::move(settings)));
    instance* const running = made.get();
    running->control_state.publish = [running](traffic_view view) {
        post_view(running->traffic_state, std::move(view));
    };
    running->traffic_state.on_report = [running](traffic_report report) {
        post_report(running->control_state, std::move(report));
    };
    running->control_state.take_token_for_peer = [running](std::string customer,
                                                           std::function<void(duration)> done) {
        post_kept_token(running->traffic_state, std::move(customer), std::move(done));
    };
    running->control_state.on_token_answer = [running](const token_answer& answer) {
        post_token_answer(running->traffic_state, answer.id, answer.wait);
    };
    running->traffic_state.ask_keeper = [running](const std::string& keeper, std::uint64_t id,
                                                  std::string customer) {
        post_token_question(running->control_state, keeper, {id, std::move(customer), {}});
    };
    running->traffic_state.on_stopped = [running] {
        const std::lock_guard lock(running->guard);
        running->stopped = true;
        running->changed.notify_all();
    };
    if (!start_traffic(running->traffic_state)) {
        return fail<instance_handle>(std::string("front"));
    }
    const std::string failed = start_control(running->control_state);
    if (!failed.empty()) {
        return fail<instance_handle>(failed);
    }
    return succeed<std::string>(std::move(made));
}

void reload(instance& running, const edge_settings& settings)
{
    boost::asio::post(running.control_state.context, [&running, seeds = settings.seeds] {
        running.control_state.settings.seeds = seeds;
        for (const std::string& address : seeds) {
            if (address != running.settings.identity.peer_address) {
                add_peer(*running.control_state.peers, address);
            }
        }
    });
}

void begin_stop(instance& running)
{
    post_stop(running.control_state);
    post_stop(running.traffic_state);
}

bool wait_until_stopped(instance& running, duration limit)
{
    std::unique_lock lock(running.guard);
    return running.changed.wait_for(lock, limit, [&] { return running.stopped; });
}

} // namespace camphorknot::edge
