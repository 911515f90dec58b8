#include "httpclient/responsereader.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>

namespace turmericsill::httpclient {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

    /// A body in chunks of few bytes takes more on the connection than its size; the store and instances send larger
    /// ones.
    constexpr std::size_t maximumFramingFactor = 2;
    constexpr std::size_t framingAllowance = 1 << 20;

} // namespace

void ResponseReader::begin(const ExpectedResponse& expected)
{
    release();
    readBytes_ = expected.readBytes;
    maximumBodyBytes_ = std::min(expected.maximumBodyBytes, budget_.limits().maximumBodyBytes);
    receivedBytes_ = buffer_.size();
    parser_.emplace(budget_, countedBytes_, maximumBodyBytes_, expected.keepsFields);
    parser_->header_limit(static_cast<std::uint32_t>(budget_.limits().maximumHeaderBytes));
    parser_->body_limit(maximumBodyBytes_);
    parser_->skip(expected.isToHeadRequest);
}

void ResponseReader::release()
{
    if (parser_)
        parser_->discardBody();
    budget_.update(countedBytes_, 0);
}

boost::asio::mutable_buffer ResponseReader::prepare() { return buffer_.prepare(readBytes_); }

void ResponseReader::commit(std::size_t bytes)
{
    buffer_.commit(bytes);
    receivedBytes_ += bytes;
}

beast::error_code ResponseReader::parse()
{
    beast::error_code error;
    buffer_.consume(parser_->put(buffer_.data(), error));
    if (error && error != http::error::need_more)
        return error;
    return parser_->is_done() ? beast::error_code() : checkLimits();
}

// The parser limits neither fields that arrive one at a time nor trailers, chunk headers and extensions.
beast::error_code ResponseReader::checkLimits()
{
    const ResponseLimits& limits = budget_.limits();
    const std::size_t unparsed = parser_->is_header_done() ? buffer_.size() : receivedBytes_;
    if (unparsed > limits.maximumHeaderBytes + readBytes_)
        return http::error::header_limit;
    if (receivedBytes_ > maximumBodyBytes_ * maximumFramingFactor + framingAllowance)
        return http::error::body_limit;
    return http::error::need_more;
}

beast::error_code ResponseReader::endOfStream()
{
    beast::error_code incomplete = http::error::end_of_stream;
    if (parser_->got_some())
        parser_->put_eof(incomplete);
    return incomplete;
}

} // namespace turmericsill::httpclient
