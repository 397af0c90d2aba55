#include "guarded_run.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>

namespace camphorknot::edge {

namespace asio = boost::asio;

namespace {

// Pause before a task that has failed is started again.
constexpr duration restart_delay = std::chrono::seconds(1);

void log_task_failure(std::string_view name, std::string_view error)
{
    thread_local log_limiter limiter;
    log_event_limited(limiter, log_severity::error, "task_failed",
                      {{"task", std::string(name)}, {"error", std::string(error)}});
}

asio::awaitable<void> repeat_task(std::function<asio::awaitable<void>()> make_task, std::string_view name)
{
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer pause(executor);
    bool has_ended = false;
    while (!has_ended) {
        try {
            co_await make_task();
            has_ended = true;
        } catch (const std::exception& exception) {
            log_task_failure(name, exception.what());
        }
        if (!has_ended) {
            boost::system::error_code cancelled; // A cancelled wait only ends earlier.
            pause.expires_after(restart_delay);
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
        }
    }
}

} // namespace

void run_handlers(asio::io_context& context, std::string_view thread, metrics& registry)
{
    std::atomic<std::uint64_t>& failures =
        counter(registry, "camphorknot_failed_handlers_total", "thread=\"" + std::string(thread) + "\"");
    log_limiter limiter;
    while (!context.stopped()) {
        try {
            context.run();
        } catch (const std::exception& exception) {
            failures.fetch_add(1, std::memory_order_relaxed);
            log_event_limited(limiter, log_severity::error, "handler_failed",
                              {{"thread", std::string(thread)}, {"error", exception.what()}});
        }
    }
}

void spawn_task(asio::io_context& context, asio::awaitable<void> task, std::string_view name)
{
    asio::co_spawn(context, std::move(task), [name](const std::exception_ptr& thrown) {
        if (thrown == nullptr) {
            return;
        }
        try {
            std::rethrow_exception(thrown);
        } catch (const std::exception& exception) {
            log_task_failure(name, exception.what());
        }
    });
}

void spawn_lasting_task(asio::io_context& context, std::function<asio::awaitable<void>()> make_task,
                        std::string_view name)
{
    spawn_task(context, repeat_task(std::move(make_task), name), name);
}

} // namespace camphorknot::edge
