#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <string>
#include <thread>

namespace turmericsill::foundation {

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
