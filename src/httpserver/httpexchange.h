#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <functional>
#include <string>
#include <utility>

namespace turmericsill::httpserver {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// One request of a client and the way back to it. Used on the server's thread.
class HttpExchange : public boost::intrusive_ref_counter<HttpExchange, boost::thread_unsafe_counter> {
public:
    virtual ~HttpExchange() = default;

    /// The request; the handler may move it out.
    virtual HttpRequest& request() = 0;

    /// Sends the answer; only the first call has an effect.
    virtual void respond(HttpResponse response) = 0;

    /// Called at most once, when the client leaves before its answer.
    void onAbandoned(std::function<void()> callback) { abandoned_ = std::move(callback); }

protected:
    void notifyAbandoned()
    {
        auto callback = std::move(abandoned_);
        abandoned_ = nullptr;
        if (callback)
            callback();
    }

    void clearAbandoned() { abandoned_ = nullptr; }

private:
    std::function<void()> abandoned_;
};

using HttpExchangePtr = boost::intrusive_ptr<HttpExchange>;

/// Builds a response with a body of the given type.
HttpResponse makeResponse(unsigned status, std::string body, const std::string& contentType = "text/plain");

} // namespace turmericsill::httpserver
