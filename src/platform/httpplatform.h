#pragma once

#include "platform/httpclient.h"
#include "platform/iinstancemanager.h"
#include "platform/ilogclient.h"

namespace turmericsill::platform {

/// HTTP client of the platform's log service; see docs/PLATFORM.md.
class HttpLogClient : public ILogClient {
public:
    HttpLogClient(boost::asio::io_context& context, const foundation::Address& server);

    void append(const std::string& stream, std::vector<std::string> payloads, foundation::milliseconds timeout,
        AppendCallback done) override;
    void read(const std::string& stream, std::uint64_t from, std::size_t maximum, foundation::milliseconds wait,
        ReadCallback done) override;

private:
    HttpClient client_;
    std::string peer_;
};

/// HTTP client of the platform's instance control; see docs/PLATFORM.md.
class HttpInstanceManager : public IInstanceManager {
public:
    HttpInstanceManager(boost::asio::io_context& context, const foundation::Address& server);

    void listInstances(const std::vector<std::string>& names, ListCallback done) override;
    void reboot(
        const std::string& instance, const std::string& operationId, std::uint64_t epoch, DoneCallback done) override;
    void queryOperation(const std::string& operationId, OperationCallback done) override;

private:
    HttpClient client_;
    std::string peer_;
};

} // namespace turmericsill::platform
