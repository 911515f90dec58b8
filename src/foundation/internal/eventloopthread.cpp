#include "foundation/eventloopthread.h"

#include <glog/logging.h>
#include <pthread.h>
#include <utility>

namespace turmericsill::foundation {

namespace {

    constexpr std::size_t maximumThreadNameLength = 15; ///< Linux limit, without the terminating null.
    constexpr double exceptionLogIntervalSeconds = 1;

} // namespace

void runUntilStopped(boost::asio::io_context& context, const std::function<void(const std::exception&)>& onException)
{
    while (!context.stopped()) {
        try {
            context.run();
        } catch (const std::exception& error) {
            onException(error);
        }
    }
}

EventLoopThread::EventLoopThread(std::string name)
    : name_(std::move(name))
    , workGuard_(context_.get_executor())
{
}

EventLoopThread::~EventLoopThread() { stop(); }

void EventLoopThread::start()
{
    thread_ = std::thread([this] { run(); });
    pthread_setname_np(thread_.native_handle(), name_.substr(0, maximumThreadNameLength).c_str());
}

void EventLoopThread::run()
{
    runUntilStopped(context_, [this](const std::exception& error) {
        LOG_EVERY_T(ERROR, exceptionLogIntervalSeconds) << "thread " << name_ << ": " << error.what();
    });
}

void EventLoopThread::stop()
{
    context_.stop();
    if (thread_.joinable())
        thread_.join();
}

} // namespace turmericsill::foundation
