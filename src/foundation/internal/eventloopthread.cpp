#include "foundation/eventloopthread.h"

#include <pthread.h>
#include <utility>

namespace turmericsill::foundation {

namespace {

    constexpr std::size_t maximumThreadNameLength = 15; ///< Linux limit, without the terminating null.

} // namespace

EventLoopThread::EventLoopThread(std::string name)
    : name_(std::move(name))
    , workGuard_(context_.get_executor())
{
}

EventLoopThread::~EventLoopThread() { stop(); }

void EventLoopThread::start()
{
    thread_ = std::thread([this] { context_.run(); });
    pthread_setname_np(thread_.native_handle(), name_.substr(0, maximumThreadNameLength).c_str());
}

void EventLoopThread::stop()
{
    context_.stop();
    if (thread_.joinable())
        thread_.join();
}

} // namespace turmericsill::foundation
