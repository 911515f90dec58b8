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

/// One request of a client and its response. Used on the server's thread.
class HttpExchange : public boost::intrusive_ref_counter<HttpExchange, boost::thread_unsafe_counter> {
public:
    virtual ~HttpExchange() = default;

    /// The request. The handler may move from it.
    virtual HttpRequest& request() = 0;

    /// Sends the response. Only the first call has an effect.
    virtual void respond(HttpResponse response) = 0;

    /// Sets the callback for a client that disconnects before its response. It is called at most once.
    void setAbandonedCallback(std::function<void()> callback) { abandonedCallback_ = std::move(callback); }

protected:
    void notifyAbandoned()
    {
        auto callback = std::move(abandonedCallback_);
        abandonedCallback_ = nullptr;
        if (callback)
            callback();
    }

    void clearAbandoned() { abandonedCallback_ = nullptr; }

private:
    std::function<void()> abandonedCallback_;
};

using HttpExchangePtr = boost::intrusive_ptr<HttpExchange>;

/// Builds a response with a body of the given content type.
HttpResponse makeResponse(unsigned status, std::string body, const std::string& contentType = "text/plain");

} // namespace turmericsill::httpserver
