#pragma once

#include "foundation/iclock.h"
#include "foundation/result.h"

#include <boost/beast/http/verb.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace turmericsill::httpclient {

/// A request to an HTTP server, and how to send it.
struct HttpCall {
    boost::beast::http::verb verb = boost::beast::http::verb::get;
    std::string target;
    std::string body;
    std::string contentType; ///< Sent if the body is not empty.
    std::vector<std::pair<std::string, std::string>> headers; ///< Each replaces a field that the client would send.
    foundation::milliseconds timeout { 1000 }; ///< Time from sending the call to the last byte of the response.
    std::string step; ///< Name of the operation in errors, for example "log.append".
    /// If set, called right before the call is sent, which may be after a wait for a connection; false drops the call
    /// with Errc::Unavailable.
    std::function<bool()> isStillWanted;
    bool closesConnection = false; ///< Whether to close the connection after the response.
    /// Largest part of the response that is received at a time, if more than the least. A busy thread receives one part
    /// in each turn of its loop.
    std::size_t readBufferBytes = 0;
    /// If not 0, the call is only sent on a connection to this incarnation of the server; see IServerIdentification.
    std::int64_t serverIncarnation = 0;
    /// If set, called each time a part of the response has arrived.
    std::function<void()> onProgress;
};

/// Response of an HTTP server.
struct HttpResponse {
    unsigned status = 0;
    std::string body;
};

using HttpCallback = std::function<void(foundation::Result<HttpResponse>)>;

} // namespace turmericsill::httpclient
