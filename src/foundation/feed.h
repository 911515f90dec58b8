#pragma once

#include "foundation/channel.h"

#include <memory>
#include <vector>

namespace turmericsill::foundation {

/// Publishes the latest value of one thread's data to other threads, over one bounded queue for each subscriber.
/// All subscriptions are made before the threads start, and only the thread that owns the feed publishes.
/// A message is dropped for a subscriber whose queue is full, since a newer message supersedes it.
template <typename Message> class Feed {
public:
    /// Calls `handler` for each published message on the thread that runs `consumerContext`.
    void subscribe(boost::asio::io_context& consumerContext, typename Channel<Message>::Handler handler)
    {
        channels_.push_back(std::make_unique<Channel<Message>>(consumerContext, queueCapacity, std::move(handler)));
    }

    void publish(const Message& message)
    {
        for (auto& channel : channels_)
            droppedMessages_ += !channel->push(message);
    }

    /// Number of messages dropped so far, summed over all subscribers.
    std::size_t droppedMessages() const { return droppedMessages_; }

private:
    static constexpr std::size_t queueCapacity = 256;

    std::vector<std::unique_ptr<Channel<Message>>> channels_;
    std::size_t droppedMessages_ = 0;
};

} // namespace turmericsill::foundation
