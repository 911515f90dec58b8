#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace turmericsill::foundation {

/// Bounded lock-free queue from one producer thread to one consumer, whose Asio context runs the handler.
/// A push never blocks. It fails when the queue is full, and the producer decides how to handle that.
template <typename Message> class Channel {
public:
    using Handler = std::function<void(Message)>;

    Channel(boost::asio::io_context& consumerContext, std::size_t capacity, Handler handler)
        : consumerContext_(consumerContext)
        , queue_(capacity)
        , handler_(std::move(handler))
    {
    }

    Channel(const Channel&) = delete;
    Channel& operator=(const Channel&) = delete;

    /// Enqueues a message and wakes the consumer. Returns false when the queue is full.
    bool push(Message message)
    {
        if (!queue_.push(std::move(message)))
            return false;
        if (!wakeupPending_.exchange(true, std::memory_order_acq_rel))
            boost::asio::post(consumerContext_, [this] { handlePending(); });
        return true;
    }

private:
    /// Runs the handler for every queued message, on the consumer's thread.
    void handlePending()
    {
        wakeupPending_.store(false, std::memory_order_release);
        Message message;
        while (queue_.pop(message))
            handler_(std::move(message));
    }

    boost::asio::io_context& consumerContext_;
    boost::lockfree::spsc_queue<Message> queue_;
    std::atomic<bool> wakeupPending_ { false };
    Handler handler_;
};

} // namespace turmericsill::foundation
