#pragma once

#include "foundation/address.h"
#include "foundation/iclock.h"
#include "operators/rpc/operatorrpcclient.h"

namespace turmericsill::ctl {

/// Carries JSON-RPC messages to one entry over HTTP, one connection for each.
class HttpRpcTransport : public operators::IRpcTransport {
public:
    HttpRpcTransport(foundation::Address entry, foundation::milliseconds timeout);

    bool exchange(const std::string& request, std::string& response) override;

    /// Whether the last exchange that failed may have reached the entry.
    bool mayHaveArrived() const { return mayHaveArrived_; }

private:
    foundation::Address entry_;
    foundation::milliseconds timeout_;
    bool mayHaveArrived_ = false;
};

} // namespace turmericsill::ctl
