#pragma once

#include "httpserver/httpexchange.h"

namespace turmericsill::callers {

/// Removes the hop-by-hop header fields, which concern a single connection, and chunked encoding. The overload for
/// requests also removes Expect and sets Content-Length.
void removeHopByHopFields(httpserver::HttpRequest& request);
void removeHopByHopFields(httpserver::HttpResponse& response);

} // namespace turmericsill::callers
