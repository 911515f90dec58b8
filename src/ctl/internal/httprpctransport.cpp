#include "ctl/httprpctransport.h"

#include "httpclient/types/responselimits.h"
#include "platform/httpclient.h"

#include <utility>

namespace turmericsill::ctl {

using foundation::Errc;

namespace {

    constexpr std::size_t maximumResponseBytes = 64u << 20; ///< Enough for the declarations of a whole fleet.

} // namespace

HttpRpcTransport::HttpRpcTransport(foundation::Address entry, foundation::milliseconds timeout)
    : entry_(std::move(entry))
    , timeout_(timeout)
{
}

bool HttpRpcTransport::exchange(const std::string& request, std::string& response)
{
    boost::asio::io_context context(1);
    httpclient::setResponseLimits(context, httpclient::responseLimitsWithin(maximumResponseBytes));
    platform::HttpClient client(context, entry_);
    foundation::Result<platform::HttpAnswer> answer;
    client.send(boost::beast::http::verb::post, "/rpc", request, timeout_, "rpc",
        [&](foundation::Result<platform::HttpAnswer> received) {
            answer = std::move(received);
            context.stop();
        });
    context.run();
    mayHaveReachedEntry_ = false;
    if (!answer) {
        mayHaveReachedEntry_ = answer.error().code != Errc::Unavailable;
        response = answer.error().message();
        return false;
    }
    if (answer->status != 200) {
        response = "rpc " + entry_.toString() + ": status " + std::to_string(answer->status);
        return false;
    }
    response = answer->body;
    return true;
}

} // namespace turmericsill::ctl
