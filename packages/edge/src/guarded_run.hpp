// What an exception ends: the handler, task or connection that it leaves, and nothing else of its thread.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string_view>

#include "camphorknot/kernel.hpp"

namespace camphorknot::edge {

/// Runs the handlers of a context until it is stopped. An exception that leaves a handler ends this handler
/// only; it is logged as `handler_failed` and counted.
/// @param thread name for the log and the metric.
void run_handlers(boost::asio::io_context& context, std::string_view thread, metrics& registry);

/// Runs a task on its own. An exception ends the task only, and is logged as `task_failed`.
void spawn_task(boost::asio::io_context& context, boost::asio::awaitable<void> task, std::string_view name);

/// Runs a task that is to last as long as the context. After an exception it is started again.
/// @param make_task starts the task.
void spawn_lasting_task(boost::asio::io_context& context,
                        std::function<boost::asio::awaitable<void>()> make_task, std::string_view name);

/// Resets a flag at the end of a task, however it ends.
class flag_reset {
public:
    explicit flag_reset(bool& flag) : flag_(flag) {}
    ~flag_reset() { flag_ = false; }
    flag_reset(const flag_reset&) = delete;
    flag_reset& operator=(const flag_reset&) = delete;
    flag_reset(flag_reset&&) = delete;
    flag_reset& operator=(flag_reset&&) = delete;

private:
    bool& flag_;
};

} // namespace camphorknot::edge
