#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <string>
#include <thread>

namespace turmericsill::foundation {

/// The thread of one duty with its Asio context.
class DutyThread {
public:
    explicit DutyThread(std::string name);
    ~DutyThread();

    DutyThread(const DutyThread&) = delete;
    DutyThread& operator=(const DutyThread&) = delete;

    boost::asio::io_context& context() { return context_; }

    void start();

    /// Ends the thread; handlers that wait are dropped.
    void stop();

private:
    std::string name_;
    boost::asio::io_context context_ { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::thread thread_;
};

} // namespace turmericsill::foundation
