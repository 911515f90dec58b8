#pragma once

#include "foundation/address.h"
#include "foundation/iclock.h"
#include "operators/rpc/operatorrpcclient.h"

namespace turmericsill::ctl {

/// Sends JSON-RPC messages to one entry over HTTP, with a new connection for each message.
class HttpRpcTransport : public operators::IRpcTransport {
public:
    HttpRpcTransport(foundation::Address entry, foundation::milliseconds timeout);

    bool exchange(const std::string& request, std::string& response) override;

    /// Whether the request of the last exchange, if it failed, may have reached the entry.
    bool mayHaveReachedEntry() const { return mayHaveReachedEntry_; }

private:
    foundation::Address entry_;
    foundation::milliseconds timeout_;
    bool mayHaveReachedEntry_ = false;
};

} // namespace turmericsill::ctl
