#include "platform/httpplatform.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace turmericsill::platform {

using boost::beast::http::verb;
using foundation::Errc;
using foundation::failure;
using foundation::milliseconds;
using foundation::Result;
using nlohmann::json;

namespace {

    constexpr milliseconds controlTimeout { 2000 };
    constexpr milliseconds longPollMargin { 2000 }; ///< Time for the response beyond the wait of a long poll.

    /// Parses the JSON body of a successful response and converts it with `decode`; other responses become errors.
    template <typename T, typename Decode>
    Result<T> decodeResponse(
        Result<HttpAnswer> response, const std::string& operation, const std::string& peer, Decode decode)
    {
        if (!response)
            return tl::unexpected(response.error());
        if (response->status == 409)
            return failure(Errc::Conflict, operation, peer, response->body);
        if (response->status == 410)
            return failure(Errc::RetentionPassed, operation, peer, response->body);
        if (response->status / 100 != 2)
            return failure(Errc::ProtocolViolation, operation, peer, "status " + std::to_string(response->status));
        try {
            return decode(json::parse(response->body));
        } catch (const std::exception& error) {
            return failure(Errc::ProtocolViolation, operation, peer, error.what());
        }
    }

    LogPage decodeLogPage(const json& value)
    {
        LogPage page;
        value.at("from").get_to(page.firstOffset);
        value.at("tail").get_to(page.endOffset);
        value.at("records").get_to(page.payloads);
        return page;
    }

    std::vector<ListedInstance> decodeInstances(const json& value)
    {
        std::vector<ListedInstance> instances;
        for (const auto& item : value.at("instances"))
            instances.push_back({ item.at("name"), item.at("state") == "live" });
        return instances;
    }

    OperationState decodeOperation(const json& value)
    {
        const auto& state = value.at("state").get_ref<const std::string&>();
        if (state == "done")
            return OperationState::Done;
        if (state == "running")
            return OperationState::Running;
        return state == "failed" ? OperationState::Failed : OperationState::Unknown;
    }

} // namespace

HttpLogClient::HttpLogClient(boost::asio::io_context& context, const foundation::Address& server)
    : client_(context, server)
    , peer_(server.toString())
{
}

void HttpLogClient::append(
    const std::string& stream, std::vector<std::string> payloads, milliseconds timeout, AppendCallback done)
{
    std::string body = json { { "records", std::move(payloads) } }.dump();
    client_.send(verb::post, "/streams/" + stream + "/append", std::move(body), timeout, "log.append",
        [peer = peer_, done = std::move(done)](Result<HttpAnswer> response) {
            done(decodeResponse<std::uint64_t>(std::move(response), "log.append", peer,
                [](const json& value) { return value.at("first").get<std::uint64_t>(); }));
        });
}

void HttpLogClient::read(
    const std::string& stream, std::uint64_t from, std::size_t maximum, milliseconds wait, ReadCallback done)
{
    const std::string target = "/streams/" + stream + "/read?from=" + std::to_string(from)
        + "&max=" + std::to_string(maximum) + "&wait_ms=" + std::to_string(wait.count());
    client_.send(verb::get, target, {}, wait + longPollMargin, "log.read",
        [peer = peer_, done = std::move(done)](Result<HttpAnswer> response) {
            done(decodeResponse<LogPage>(std::move(response), "log.read", peer, decodeLogPage));
        });
}

HttpInstanceManager::HttpInstanceManager(boost::asio::io_context& context, const foundation::Address& server)
    : client_(context, server)
    , peer_(server.toString())
{
}

void HttpInstanceManager::listInstances(const std::vector<std::string>& names, ListCallback done)
{
    std::string target = "/instances?names=";
    for (std::size_t index = 0; index < names.size(); ++index)
        target += (index == 0 ? "" : ",") + names[index];
    client_.send(verb::get, target, {}, controlTimeout, "platform.list",
        [peer = peer_, done = std::move(done)](Result<HttpAnswer> response) {
            done(decodeResponse<std::vector<ListedInstance>>(
                std::move(response), "platform.list", peer, decodeInstances));
        });
}

void HttpInstanceManager::reboot(
    const std::string& instance, const std::string& operationId, std::uint64_t epoch, DoneCallback done)
{
    std::string body = json { { "operation", operationId }, { "epoch", epoch } }.dump();
    client_.send(verb::post, "/instances/" + instance + "/reboot", std::move(body), controlTimeout, "platform.reboot",
        [peer = peer_, done = std::move(done)](Result<HttpAnswer> response) {
            auto decoded
                = decodeResponse<bool>(std::move(response), "platform.reboot", peer, [](const json&) { return true; });
            done(decoded ? Result<void>() : tl::unexpected(decoded.error()));
        });
}

void HttpInstanceManager::queryOperation(const std::string& operationId, OperationCallback done)
{
    client_.send(verb::get, "/operations/" + operationId, {}, controlTimeout, "platform.operation",
        [peer = peer_, done = std::move(done)](Result<HttpAnswer> response) {
            done(decodeResponse<OperationState>(std::move(response), "platform.operation", peer, decodeOperation));
        });
}

} // namespace turmericsill::platform
