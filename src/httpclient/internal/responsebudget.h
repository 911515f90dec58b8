#pragma once

#include "httpclient/types/responselimits.h"

#include <boost/asio/io_context.hpp>

namespace turmericsill::httpclient {

/// Memory of the responses that all HTTP clients of a context are receiving.
class ResponseBudget : public boost::asio::execution_context::service {
public:
    static boost::asio::execution_context::id id;

    explicit ResponseBudget(boost::asio::io_context& context);

    void setLimits(const ResponseLimits& limits) { limits_ = limits; }
    const ResponseLimits& limits() const { return limits_; }

    /// Replaces `countedBytes`, what is counted for a response, by `heldBytes`; false if the sum is beyond the limit.
    bool update(std::size_t& countedBytes, std::size_t heldBytes);

    std::size_t usedBytes() const { return usedBytes_; }

private:
    void shutdown() override { }

    ResponseLimits limits_;
    std::size_t usedBytes_ = 0;
};

} // namespace turmericsill::httpclient
