#pragma once

#include "httpserver/httpexchange.h"

namespace turmericsill::callers {

/// Removes the header fields that concern one connection only, and those that a caller must not set.
void removeHopByHopFields(httpserver::HttpRequest& request);
void removeHopByHopFields(httpserver::HttpResponse& response);

} // namespace turmericsill::callers
