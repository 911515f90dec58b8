#pragma once

#include "foundation/address.h"
#include "foundation/iclock.h"
#include "foundation/result.h"
#include "httpclient/pooledhttpclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/verb.hpp>
#include <functional>
#include <string>

namespace turmericsill::platform {

using HttpAnswer = httpclient::HttpResponse;

/// Asynchronous HTTP/1.1 client for the platform's services. Opens a new connection for each request.
/// Errc::Unavailable: the connection could not be established, so the request was not sent.
/// Errc::Timeout and Errc::ProtocolViolation: the request may have been carried out.
class HttpClient {
public:
    using Callback = std::function<void(foundation::Result<HttpAnswer>)>;

    HttpClient(boost::asio::io_context& context, foundation::Address server);

    /// Sends a request; `operation` names it in errors. The callback runs on the context's thread, unless the client is
    /// destroyed before.
    void send(boost::beast::http::verb verb, const std::string& target, std::string body,
        foundation::milliseconds timeout, const std::string& operation, Callback done);

private:
    httpclient::PooledHttpClient client_;
};

} // namespace turmericsill::platform
