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

/// Bounded ring from one producing thread to one consuming duty.
/// A push never blocks; it fails when the ring is full, and the producer decides what to do.
template <typename Message> class Channel {
public:
    using Handler = std::function<void(Message)>;

    Channel(boost::asio::io_context& consumer, std::size_t capacity, Handler handler)
        : consumer_(consumer)
        , ring_(capacity)
        , handler_(std::move(handler))
    {
    }

    Channel(const Channel&) = delete;
    Channel& operator=(const Channel&) = delete;

    /// Hands a message over. Returns false when the ring is full.
    bool push(Message message)
    {
        if (!ring_.push(std::move(message)))
            return false;
        if (!wakeupPending_.exchange(true, std::memory_order_acq_rel))
            boost::asio::post(consumer_, [this] { drain(); });
        return true;
    }

private:
    void drain()
    {
        wakeupPending_.store(false, std::memory_order_release);
        Message message;
        while (ring_.pop(message))
            handler_(std::move(message));
    }

    boost::asio::io_context& consumer_;
    boost::lockfree::spsc_queue<Message> ring_;
    std::atomic<bool> wakeupPending_ { false };
    Handler handler_;
};

} // namespace turmericsill::foundation
