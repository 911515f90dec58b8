#include "foundation/eventloopthread.h"

#include <exception>
#include <glog/logging.h>
#include <pthread.h>
#include <utility>

namespace turmericsill::foundation {

namespace {

    constexpr std::size_t maximumThreadNameLength = 15; ///< Linux limit, without the terminating null.
    constexpr double exceptionLogIntervalSeconds = 1;

} // namespace

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

// An exception that leaves a handler ends what this handler was doing, not the process.
void EventLoopThread::run()
{
    while (!context_.stopped()) {
        try {
            context_.run();
        } catch (const std::exception& error) {
            LOG_EVERY_T(ERROR, exceptionLogIntervalSeconds) << "thread " << name_ << ": " << error.what();
        }
    }
}

void EventLoopThread::stop()
{
    context_.stop();
    if (thread_.joinable())
        thread_.join();
}

} // namespace turmericsill::foundation
