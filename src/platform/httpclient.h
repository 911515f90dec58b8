#pragma once

#include "foundation/address.h"
#include "foundation/iclock.h"
#include "foundation/result.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/verb.hpp>
#include <functional>
#include <memory>
#include <string>

namespace turmericsill::platform {

/// Answer of an HTTP server whose body is text.
struct HttpAnswer {
    unsigned status = 0;
    std::string body;
};

/// Small asynchronous HTTP/1.1 client for the platform's services; one connection for each request.
/// Errc::Unavailable: the connection failed, so the request was not sent.
/// Errc::Timeout and Errc::ProtocolViolation: the request may have been carried out.
class HttpClient {
public:
    using Callback = std::function<void(foundation::Result<HttpAnswer>)>;

    HttpClient(boost::asio::io_context& context, foundation::Address server);

    /// Sends a request; `step` names the operation in errors. The callback runs on the context's thread.
    void send(boost::beast::http::verb verb, const std::string& target, std::string body,
        foundation::milliseconds timeout, const std::string& step, Callback done);

private:
    boost::asio::io_context& context_;
    foundation::Address server_;
};

} // namespace turmericsill::platform
