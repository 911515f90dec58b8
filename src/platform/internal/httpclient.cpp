#include "platform/httpclient.h"

#include <utility>

namespace turmericsill::platform {

namespace {

    constexpr std::size_t maximumConnections = 256; ///< More calls than modules make at a time.
    constexpr std::size_t readBytes = 64 << 10; ///< Pages of the log are large.

} // namespace

HttpClient::HttpClient(boost::asio::io_context& context, foundation::Address server)
    : client_(context, std::move(server), maximumConnections)
{
}

void HttpClient::send(boost::beast::http::verb verb, const std::string& target, std::string body,
    foundation::milliseconds timeout, const std::string& operation, Callback done)
{
    httpclient::HttpCall call;
    call.verb = verb;
    call.target = target;
    call.body = std::move(body);
    call.contentType = "application/json";
    call.timeout = timeout;
    call.step = operation;
    call.closesConnection = true;
    call.readBufferBytes = readBytes;
    client_.send(std::move(call), std::move(done));
}

} // namespace turmericsill::platform
