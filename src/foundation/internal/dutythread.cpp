#include "foundation/dutythread.h"

#include <pthread.h>
#include <utility>

namespace turmericsill::foundation {

namespace {

    constexpr std::size_t maximumThreadName = 15; ///< Limit of the operating system.

} // namespace

DutyThread::DutyThread(std::string name)
    : name_(std::move(name))
    , work_(context_.get_executor())
{
}

DutyThread::~DutyThread() { stop(); }

void DutyThread::start()
{
    thread_ = std::thread([this] { context_.run(); });
    pthread_setname_np(thread_.native_handle(), name_.substr(0, maximumThreadName).c_str());
}

void DutyThread::stop()
{
    context_.stop();
    if (thread_.joinable())
        thread_.join();
}

} // namespace turmericsill::foundation
