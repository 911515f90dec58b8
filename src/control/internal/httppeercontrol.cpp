#include "control/httppeercontrol.h"

#include "httpclient/httppeer.h"

#include <boost/asio/post.hpp>
#include <memory>
#include <nlohmann/json.hpp>

namespace turmericsill::control {

using foundation::Errc;
using foundation::failure;
using foundation::milliseconds;
using foundation::Result;

namespace {

    constexpr milliseconds askTimeout { 500 };
    constexpr unsigned statusOk = 200;

} // namespace

const std::string controlStatePath = "/control";

HttpPeerControl::HttpPeerControl(boost::asio::io_context& context)
    : context_(context)
{
}

void HttpPeerControl::ask(const foundation::Address& peer, Callback done)
{
    auto client = std::make_shared<httpclient::HttpPeer>(context_, peer, 1);
    httpclient::HttpCall call;
    call.target = controlStatePath;
    call.timeout = askTimeout;
    call.step = "control.ask";
    call.closes = true;
    client->send(std::move(call),
        [client, &context = context_, done = std::move(done)](const Result<httpclient::HttpAnswer>& answer) {
            // The client is in the middle of this callback.
            boost::asio::post(context, [client] {});
            if (!answer)
                return done(tl::unexpected(answer.error()));
            if (answer->status != statusOk)
                return done(failure(Errc::ProtocolViolation, "control.ask", {}, std::to_string(answer->status)));
            done(decodeControlState(answer->body));
        });
}

std::string encodeControlState(const PeerControlState& state)
{
    return nlohmann::json { { "incarnation", state.incarnation }, { "epoch", state.epoch } }.dump();
}

Result<PeerControlState> decodeControlState(const std::string& body)
{
    try {
        const auto value = nlohmann::json::parse(body);
        return PeerControlState { value.at("incarnation").get<std::uint64_t>(),
            value.at("epoch").get<std::uint64_t>() };
    } catch (const nlohmann::json::exception& error) {
        return failure(Errc::ProtocolViolation, "control.ask", {}, error.what());
    }
}

} // namespace turmericsill::control
