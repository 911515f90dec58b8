#pragma once

#include "httpclient/internal/responsebudget.h"
#include "httpclient/internal/responseparser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <limits>
#include <optional>

namespace turmericsill::httpclient {

/// What the next response of a connection may be.
struct ExpectedResponse {
    std::size_t readBytes = 1024; ///< Largest part that is received at a time.
    /// Largest body, if it is less than the limit for all clients of the context.
    std::size_t maximumBodyBytes = std::numeric_limits<std::size_t>::max();
    bool isToHeadRequest = false;
    bool keepsFields = false; ///< Whether the header fields are of interest.
};

/// Reads the responses on one connection within the limits of its context; see ResponseLimits. Every HTTP client of the
/// system reads with it. What it holds counts against the sum for all clients until the next response begins, or until
/// release().
class ResponseReader {
public:
    explicit ResponseReader(boost::asio::io_context& context)
        : budget_(boost::asio::use_service<ResponseBudget>(context))
    {
    }
    ~ResponseReader() { release(); }

    ResponseReader(const ResponseReader&) = delete;
    ResponseReader& operator=(const ResponseReader&) = delete;

    /// Begins to read a response. What was received beyond the previous one is part of it.
    void begin(const ExpectedResponse& expected);

    /// Memory for the next read.
    boost::asio::mutable_buffer prepare();

    /// Takes in what was read, while no response is being read as well.
    void commit(std::size_t bytes);

    /// Parses what was received. Returns http::error::need_more until the response is complete, and another error if it
    /// is malformed or beyond a limit.
    boost::beast::error_code parse();

    /// Ends the response at the end of the connection. Returns an error if it is incomplete.
    boost::beast::error_code endOfStream();

    /// Frees what is held for the response.
    void release();

    /// The response, once it is complete.
    ResponseParser& response() { return *parser_; }

    /// Whether anything was received beyond the response.
    bool hasMore() const { return buffer_.size() > 0; }

private:
    boost::beast::error_code checkLimits();

    ResponseBudget& budget_;
    boost::beast::flat_buffer buffer_;
    std::optional<ResponseParser> parser_;
    std::size_t countedBytes_ = 0; ///< Counted against the budget for the response in progress.
    std::size_t receivedBytes_ = 0; ///< Of the response in progress, as sent.
    std::size_t readBytes_ = ExpectedResponse().readBytes;
    std::size_t maximumBodyBytes_ = 0;
};

} // namespace turmericsill::httpclient
