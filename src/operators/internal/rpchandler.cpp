#include "operators/rpchandler.h"

namespace turmericsill::operators {

using boost::beast::http::verb;
using httpserver::makeResponse;

void RpcHandler::handle(const httpserver::HttpExchangePtr& exchange)
{
    const auto& request = exchange->request();
    if (request.target() != "/rpc")
        return exchange->respond(makeResponse(404, "known is POST /rpc\n"));
    if (request.method() != verb::post)
        return exchange->respond(makeResponse(405, "expected POST\n"));
    exchange->respond(makeResponse(200, processor_.process(request.body()), "application/json"));
}

} // namespace turmericsill::operators
