#include "ctl/httprpctransport.h"

#include "platform/httpclient.h"

#include <utility>

namespace turmericsill::ctl {

using foundation::Errc;

HttpRpcTransport::HttpRpcTransport(foundation::Address entry, foundation::milliseconds timeout)
    : entry_(std::move(entry))
    , timeout_(timeout)
{
}

bool HttpRpcTransport::exchange(const std::string& request, std::string& response)
{
    boost::asio::io_context context(1);
    platform::HttpClient client(context, entry_);
    foundation::Result<platform::HttpAnswer> answer;
    client.send(boost::beast::http::verb::post, "/rpc", request, timeout_, "rpc",
        [&](foundation::Result<platform::HttpAnswer> received) { answer = std::move(received); });
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
