#pragma once

#include "foundation/channel.h"

#include <memory>
#include <vector>

namespace turmericsill::foundation {

/// One duty's latest information for other duties, over a bounded ring to each.
/// Subscriptions are made before the threads start; only the owner's thread publishes.
/// A message that finds a ring full is dropped, since a newer one follows.
template <typename Message> class Feed {
public:
    void subscribe(boost::asio::io_context& consumer, typename Channel<Message>::Handler handler)
    {
        channels_.push_back(std::make_unique<Channel<Message>>(consumer, capacity, std::move(handler)));
    }

    void publish(const Message& message)
    {
        for (auto& channel : channels_)
            dropped_ += !channel->push(message);
    }

    std::size_t dropped() const { return dropped_; }

private:
    static constexpr std::size_t capacity = 256;

    std::vector<std::unique_ptr<Channel<Message>>> channels_;
    std::size_t dropped_ = 0;
};

} // namespace turmericsill::foundation
