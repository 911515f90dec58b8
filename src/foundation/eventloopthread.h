#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <functional>
#include <string>
#include <thread>

namespace turmericsill::foundation {

/// Runs the handlers of a context until it is stopped. An exception that leaves a handler ends what this handler was
/// doing, not the process; it is passed to `onException`.
void runUntilStopped(boost::asio::io_context& context, const std::function<void(const std::exception&)>& onException);

/// Thread that runs the event loop of one component on an Asio context of its own.
class EventLoopThread {
public:
    /// `name` becomes the name of the operating system's thread, cut to 15 characters.
    explicit EventLoopThread(std::string name);
    ~EventLoopThread();

    EventLoopThread(const EventLoopThread&) = delete;
    EventLoopThread& operator=(const EventLoopThread&) = delete;

    boost::asio::io_context& context() { return context_; }

    void start();

    /// Stops the event loop and joins the thread. Handlers that are still queued do not run.
    void stop();

private:
    void run();

    std::string name_;
    boost::asio::io_context context_ { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> workGuard_;
    std::thread thread_;
};

} // namespace turmericsill::foundation
