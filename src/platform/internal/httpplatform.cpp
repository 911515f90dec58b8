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
    constexpr milliseconds readMargin { 2000 }; ///< Added to the wait of a long poll.

    /// Parses a JSON answer with the expected status; `decode` turns it into the result.
    template <typename T, typename Decode>
    Result<T> decodeAnswer(Result<HttpAnswer> answer, const std::string& step, const std::string& peer, Decode decode)
    {
        if (!answer)
            return tl::unexpected(answer.error());
        if (answer->status == 409)
            return failure(Errc::Conflict, step, peer, answer->body);
        if (answer->status == 410)
            return failure(Errc::RetentionPassed, step, peer, answer->body);
        if (answer->status / 100 != 2)
            return failure(Errc::ProtocolViolation, step, peer, "status " + std::to_string(answer->status));
        try {
            return decode(json::parse(answer->body));
        } catch (const std::exception& error) {
            return failure(Errc::ProtocolViolation, step, peer, error.what());
        }
    }

    LogPage decodePage(const json& value)
    {
        LogPage page;
        value.at("from").get_to(page.from);
        value.at("tail").get_to(page.tail);
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
    , peer_(server.text())
{
}

void HttpLogClient::append(
    const std::string& stream, std::vector<std::string> payloads, milliseconds timeout, AppendCallback done)
{
    std::string body = json { { "records", std::move(payloads) } }.dump();
    client_.send(verb::post, "/streams/" + stream + "/append", std::move(body), timeout, "log.append",
        [peer = peer_, done = std::move(done)](Result<HttpAnswer> answer) {
            done(decodeAnswer<std::uint64_t>(std::move(answer), "log.append", peer,
                [](const json& value) { return value.at("first").get<std::uint64_t>(); }));
        });
}

void HttpLogClient::read(
    const std::string& stream, std::uint64_t from, std::size_t maximum, milliseconds wait, ReadCallback done)
{
    const std::string target = "/streams/" + stream + "/read?from=" + std::to_string(from)
        + "&max=" + std::to_string(maximum) + "&wait_ms=" + std::to_string(wait.count());
    client_.send(verb::get, target, {}, wait + readMargin, "log.read",
        [peer = peer_, done = std::move(done)](Result<HttpAnswer> answer) {
            done(decodeAnswer<LogPage>(std::move(answer), "log.read", peer, decodePage));
        });
}

HttpInstancePlatform::HttpInstancePlatform(boost::asio::io_context& context, const foundation::Address& server)
    : client_(context, server)
    , peer_(server.text())
{
}

void HttpInstancePlatform::listInstances(const std::vector<std::string>& names, ListCallback done)
{
    std::string target = "/instances?names=";
    for (std::size_t index = 0; index < names.size(); ++index)
        target += (index == 0 ? "" : ",") + names[index];
    client_.send(verb::get, target, {}, controlTimeout, "platform.list",
        [peer = peer_, done = std::move(done)](Result<HttpAnswer> answer) {
            done(decodeAnswer<std::vector<ListedInstance>>(std::move(answer), "platform.list", peer, decodeInstances));
        });
}

void HttpInstancePlatform::reboot(
    const std::string& instance, const std::string& operationId, std::uint64_t epoch, DoneCallback done)
{
    std::string body = json { { "operation", operationId }, { "epoch", epoch } }.dump();
    client_.send(verb::post, "/instances/" + instance + "/reboot", std::move(body), controlTimeout, "platform.reboot",
        [peer = peer_, done = std::move(done)](Result<HttpAnswer> answer) {
            auto decoded
                = decodeAnswer<bool>(std::move(answer), "platform.reboot", peer, [](const json&) { return true; });
            done(decoded ? Result<void>() : tl::unexpected(decoded.error()));
        });
}

void HttpInstancePlatform::queryOperation(const std::string& operationId, OperationCallback done)
{
    client_.send(verb::get, "/operations/" + operationId, {}, controlTimeout, "platform.operation",
        [peer = peer_, done = std::move(done)](Result<HttpAnswer> answer) {
            done(decodeAnswer<OperationState>(std::move(answer), "platform.operation", peer, decodeOperation));
        });
}

} // namespace turmericsill::platform
