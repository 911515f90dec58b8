#pragma once

#include "httpclient/types/httpcall.h"

#include <cstdint>

namespace turmericsill::httpclient {

/// Tells which incarnation of a server answers on a connection. A connection ends with the incarnation that accepted
/// it, so what is sent on it later reaches that incarnation or none.
class IServerIdentification {
public:
    virtual ~IServerIdentification() = default;

    /// The call that a connection carries before its first call with HttpCall::serverIncarnation. Any incarnation may
    /// carry it out.
    virtual HttpCall identificationCall() const = 0;

    /// The incarnation that sent the response to that call; 0 if the response does not tell.
    virtual std::int64_t incarnationFrom(const HttpResponse& response) const = 0;
};

} // namespace turmericsill::httpclient
