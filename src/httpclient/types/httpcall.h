#pragma once

#include "foundation/iclock.h"
#include "foundation/result.h"

#include <boost/beast/http/verb.hpp>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace turmericsill::httpclient {

/// A request to be sent.
struct HttpCall {
    boost::beast::http::verb verb = boost::beast::http::verb::get;
    std::string target;
    std::string body;
    std::string contentType; ///< Sent when the body is not empty.
    std::vector<std::pair<std::string, std::string>> headers;
    foundation::milliseconds timeout { 1000 }; ///< From send() to the last byte of the answer.
    std::string step; ///< Names the operation in errors.
    bool closes = false; ///< Whether the connection ends with the answer.
};

/// Answer of an HTTP server.
struct HttpAnswer {
    unsigned status = 0;
    std::string body;
};

using HttpCallback = std::function<void(foundation::Result<HttpAnswer>)>;

} // namespace turmericsill::httpclient
