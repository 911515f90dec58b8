#include "foundation/dutythread.h"

#include <pthread.h>
#include <utility>

namespace turmericsill::foundation {

namespace {

    constexpr std::size_t maximumThreadNameLength = 15; ///< Linux limit, without the terminating null.

} // namespace

DutyThread::DutyThread(std::string name)
    : name_(std::move(name))
    , workGuard_(context_.get_executor())
{
}

DutyThread::~DutyThread() { stop(); }

void DutyThread::start()
{
    thread_ = std::thread([this] { context_.run(); });
    pthread_setname_np(thread_.native_handle(), name_.substr(0, maximumThreadNameLength).c_str());
}

void DutyThread::stop()
{
    context_.stop();
    if (thread_.joinable())
        thread_.join();
}

} // namespace turmericsill::foundation
