#pragma once

#include "control/ipeercontrol.h"
#include "httpclient/pooledhttpclient.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace turmericsill::control {

/// Calls other entries over HTTP at their telemetry addresses, under controlStatePath and recordsPath.
class HttpPeerControl : public IPeerControl {
public:
    explicit HttpPeerControl(boost::asio::io_context& context);

    void queryState(const foundation::Address& peer, StateCallback done) override;
    void forward(const foundation::Address& peer, std::vector<std::string> records, foundation::milliseconds timeout,
        ForwardCallback done) override;

private:
    boost::asio::io_context& context_;
    /// Entries that records were forwarded to.
    std::map<foundation::Address, std::unique_ptr<httpclient::PooledHttpClient>> peers_;
};

extern const std::string controlStatePath;
extern const std::string recordsPath;

/// Body of a request that forwards records, in CBOR.
std::string encodeRecords(const std::vector<std::string>& records);
foundation::Result<std::vector<std::string>> decodeRecords(const std::string& body);

/// Header of a request that forwards records, with the value "1": its sender understands rejections in the answer.
extern const std::string acceptsRejectionsHeader;

/// Body of the answer to a request that forwards records, in JSON; empty if none was rejected, as earlier versions
/// answer. Decoding fails if a rejection is not of one of `records` records.
std::string encodeReceipt(const eventlog::StoreReceipt& receipt);
foundation::Result<eventlog::StoreReceipt> decodeReceipt(const std::string& body, std::size_t records);

/// Body of the answer to a request for the control state, in JSON.
std::string encodeControlState(const PeerControlState& state);
foundation::Result<PeerControlState> decodeControlState(const std::string& body);

} // namespace turmericsill::control
