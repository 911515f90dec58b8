#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <limits>

namespace turmericsill::httpclient {

/// Limits of the responses that all HTTP clients of a context receive.
struct ResponseLimits {
    std::size_t maximumHeaderBytes = 16 << 10; ///< Also of the trailers and of the header of one chunk.
    std::size_t maximumBodyBytes = 256u << 20; ///< Enough for a page of the largest log read.
    /// Sum over all calls in progress. A response that would exceed it fails its call.
    std::size_t totalBytes = std::numeric_limits<std::size_t>::max();
};

/// Limits of a context whose responses may take so much memory together.
ResponseLimits responseLimitsWithin(std::size_t totalBytes);

void setResponseLimits(boost::asio::io_context& context, const ResponseLimits& limits);

} // namespace turmericsill::httpclient
