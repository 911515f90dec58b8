#include "callers/headerrules.h"

#include <array>
#include <boost/beast/http/rfc7230.hpp>
#include <string>
#include <vector>

namespace turmericsill::callers {

namespace {

    namespace http = boost::beast::http;

    constexpr std::array<http::field, 8> hopByHopFields { http::field::connection, http::field::keep_alive,
        http::field::proxy_authenticate, http::field::proxy_authorization, http::field::te, http::field::trailer,
        http::field::upgrade, http::field::proxy_connection };

    template <typename Message> void removeFields(Message& message)
    {
        std::vector<std::string> connectionOptions;
        for (const auto& token : http::token_list(message[http::field::connection]))
            connectionOptions.emplace_back(token);
        for (const auto& name : connectionOptions)
            message.erase(name);
        for (http::field field : hopByHopFields)
            message.erase(field);
        // The complete body is in memory, so Content-Length replaces chunked encoding.
        message.chunked(false);
    }

} // namespace

void removeHopByHopFields(httpserver::HttpRequest& request)
{
    removeFields(request);
    request.erase(http::field::expect);
    request.prepare_payload();
}

void removeHopByHopFields(httpserver::HttpResponse& response) { removeFields(response); }

} // namespace turmericsill::callers
