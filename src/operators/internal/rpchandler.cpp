#include "operators/rpchandler.h"

#include <malloc.h>

namespace turmericsill::operators {

using boost::beast::http::verb;
using httpserver::makeResponse;

namespace {

    constexpr std::size_t largeRequestBytes = 1 << 20;

} // namespace

void RpcHandler::handle(const httpserver::HttpExchangePtr& exchange)
{
    const auto& request = exchange->request();
    if (request.target() != "/rpc")
        return exchange->respond(makeResponse(404, "known is POST /rpc\n"));
    if (request.method() != verb::post)
        return exchange->respond(makeResponse(405, "expected POST\n"));
    exchange->respond(makeResponse(200, processor_.process(request.body()), "application/json"));
    // The declarations of a large fleet leave more free memory behind than this process may keep.
    if (request.body().size() >= largeRequestBytes)
        malloc_trim(0);
}

} // namespace turmericsill::operators
