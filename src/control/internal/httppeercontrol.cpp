#include "control/httppeercontrol.h"

#include "foundation/cbor.h"

#include <boost/asio/post.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>

namespace turmericsill::control {

using foundation::Errc;
using foundation::failure;
using foundation::milliseconds;
using foundation::Result;

namespace {

    constexpr milliseconds queryTimeout { 500 };
    /// More than an append of 2 MB holds.
    constexpr std::size_t maximumRecordsPerCall = 100000;
    constexpr unsigned statusOk = 200;
    constexpr unsigned statusBadRequest = 400;
    constexpr unsigned statusContentTooLarge = 413;
    constexpr unsigned statusServiceUnavailable = 503;

    /// Whether the controller has surely not stored the records that were handed over.
    bool isNotStored(unsigned status)
    {
        return status == statusBadRequest || status == statusContentTooLarge || status == statusServiceUnavailable;
    }

    nlohmann::json toBinary(const std::string& text) { return nlohmann::json::binary({ text.begin(), text.end() }); }

} // namespace

const std::string controlStatePath = "/control";
const std::string recordsPath = "/control/records";
const std::string acceptsRejectionsHeader = "X-Accepts-Rejections";

HttpPeerControl::HttpPeerControl(boost::asio::io_context& context)
    : context_(context)
{
}

void HttpPeerControl::queryState(const foundation::Address& peer, StateCallback done)
{
    auto client = std::make_shared<httpclient::PooledHttpClient>(context_, peer, 1);
    httpclient::HttpCall call;
    call.target = controlStatePath;
    call.timeout = queryTimeout;
    call.step = "control.ask";
    call.closesConnection = true;
    client->send(std::move(call),
        [client, &context = context_, done = std::move(done)](const Result<httpclient::HttpResponse>& answer) {
            // Keeps the client alive until its callback, which is this one, has returned.
            boost::asio::post(context, [client] {});
            if (!answer)
                return done(tl::unexpected(answer.error()));
            if (answer->status != statusOk)
                return done(failure(Errc::ProtocolViolation, "control.ask", {}, std::to_string(answer->status)));
            done(decodeControlState(answer->body));
        });
}

// Clients of former controllers are kept, since calls to them may still be pending and there are few of them.
void HttpPeerControl::forward(
    const foundation::Address& peer, std::vector<std::string> records, milliseconds timeout, ForwardCallback done)
{
    // One for each concurrent forward of SubmissionRouter, and one for a call on a connection that hangs.
    constexpr std::size_t connections = 9;
    auto& client = peers_[peer];
    if (!client)
        client = std::make_unique<httpclient::PooledHttpClient>(context_, peer, connections);
    httpclient::HttpCall call;
    call.verb = boost::beast::http::verb::post;
    call.target = recordsPath;
    call.body = encodeRecords(records);
    call.contentType = "application/cbor";
    call.headers.emplace_back(acceptsRejectionsHeader, "1");
    call.timeout = timeout;
    call.step = "control.forward";
    const std::size_t count = records.size();
    client->send(std::move(call), [count, done = std::move(done)](const Result<httpclient::HttpResponse>& answer) {
        if (!answer)
            return done(tl::unexpected(answer.error()));
        if (answer->status == statusOk)
            return done(decodeReceipt(answer->body, count));
        const Errc code = isNotStored(answer->status) ? Errc::Unavailable : Errc::ProtocolViolation;
        done(failure(code, "control.forward", {}, "HTTP status " + std::to_string(answer->status)));
    });
}

std::string encodeRecords(const std::vector<std::string>& records)
{
    nlohmann::json value = nlohmann::json::array();
    for (const auto& record : records)
        value.push_back(toBinary(record));
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    return bytes;
}

Result<std::vector<std::string>> decodeRecords(const std::string& body)
{
    try {
        std::vector<std::string> records;
        for (const auto& item : foundation::parseCbor(body, maximumRecordsPerCall)) {
            const auto& bytes = item.get_binary();
            records.emplace_back(bytes.begin(), bytes.end());
        }
        return records;
    } catch (const std::exception& error) {
        return failure(Errc::InvalidInput, "control.records", {}, error.what());
    }
}

std::string encodeReceipt(const eventlog::StoreReceipt& receipt)
{
    if (receipt.rejected.empty())
        return {};
    nlohmann::json rejected = nlohmann::json::array();
    for (const eventlog::RejectedRecord& record : receipt.rejected)
        rejected.push_back({ record.index, record.retryAfter.count() });
    return nlohmann::json { { "rejected", std::move(rejected) } }.dump();
}

// Each record is named once at most, since its submitter is answered once.
Result<eventlog::StoreReceipt> decodeReceipt(const std::string& body, std::size_t records)
{
    eventlog::StoreReceipt receipt;
    if (body.empty())
        return receipt;
    try {
        std::set<std::size_t> indexes;
        const auto value = nlohmann::json::parse(body);
        for (const auto& item : value.at("rejected")) {
            const auto index = item.at(0).get<std::int64_t>();
            const auto retryAfter = item.at(1).get<std::int64_t>();
            const bool isKnown = index >= 0 && static_cast<std::size_t>(index) < records;
            if (!isKnown || retryAfter < 0 || !indexes.insert(static_cast<std::size_t>(index)).second)
                return failure(Errc::ProtocolViolation, "control.forward", {}, "invalid rejection");
            receipt.rejected.push_back({ static_cast<std::size_t>(index), milliseconds(retryAfter) });
        }
        return receipt;
    } catch (const nlohmann::json::exception& error) {
        return failure(Errc::ProtocolViolation, "control.forward", {}, error.what());
    }
}

std::string encodeControlState(const PeerControlState& state)
{
    return nlohmann::json {
        { "incarnation", state.incarnation }, { "epoch", state.epoch }, { "latest_claim", state.latestClaim }
    }.dump();
}

Result<PeerControlState> decodeControlState(const std::string& body)
{
    try {
        const auto value = nlohmann::json::parse(body);
        return PeerControlState { value.at("incarnation").get<std::uint64_t>(), value.at("epoch").get<std::uint64_t>(),
            value.value("latest_claim", std::uint64_t(0)) };
    } catch (const nlohmann::json::exception& error) {
        return failure(Errc::ProtocolViolation, "control.ask", {}, error.what());
    }
}

} // namespace turmericsill::control
