#include "operators/rpchandler.h"

#include <malloc.h>

namespace turmericsill::operators {

using boost::beast::http::verb;
using httpserver::makeResponse;

namespace {

    constexpr std::size_t largeRequestBytes = 1 << 20; ///< Request size from which free memory is returned.

} // namespace

void RpcHandler::handle(const httpserver::HttpExchangePtr& exchange)
{
    const auto& request = exchange->request();
    if (request.target() != "/rpc")
        return exchange->respond(makeResponse(404, "not found; the only resource is POST /rpc\n"));
    if (request.method() != verb::post)
        return exchange->respond(makeResponse(405, "method not allowed; use POST\n"));
    exchange->respond(makeResponse(200, processor_.process(request.body()), "application/json"));
    // Decoding the declarations of a large fleet leaves more free heap memory than this process may keep, so it is
    // returned to the operating system.
    if (request.body().size() >= largeRequestBytes)
        malloc_trim(0);
}

} // namespace turmericsill::operators
