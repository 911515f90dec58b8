#include "operators/rpchandler.h"

#include "foundation/jsontext.h"

#include <malloc.h>
#include <string>

namespace turmericsill::operators {

using boost::beast::http::verb;
using httpserver::makeResponse;

namespace {

    constexpr std::size_t largeRequestBytes = 1 << 20; ///< Request size from which free memory is returned.
    constexpr std::size_t bytesPerValue = 128; ///< Memory of a number in a list after parsing, with its list entry.

} // namespace

RpcHandler::RpcHandler(IOperatorCalls& calls, std::size_t memoryBytes)
    : processor_(calls)
    , maximumValues_(memoryBytes / bytesPerValue)
{
}

void RpcHandler::handle(const httpserver::HttpExchangePtr& exchange)
{
    const auto& request = exchange->request();
    if (request.target() != "/rpc")
        return exchange->respond(makeResponse(404, "not found; the only resource is POST /rpc\n"));
    if (request.method() != verb::post)
        return exchange->respond(makeResponse(405, "method not allowed; use POST\n"));
    if (foundation::countJsonValues(request.body()) > maximumValues_)
        return exchange->respond(
            makeResponse(413, "more than " + std::to_string(maximumValues_) + " JSON values in a request\n"));
    exchange->respond(makeResponse(200, processor_.process(request.body()), "application/json"));
    // Decoding the declarations of a large fleet leaves more free heap memory than this process may keep, so it is
    // returned to the operating system.
    if (request.body().size() >= largeRequestBytes)
        malloc_trim(0);
}

} // namespace turmericsill::operators
