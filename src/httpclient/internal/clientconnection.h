#pragma once

#include "foundation/tcpstream.h"
#include "httpclient/internal/calldeadlines.h"
#include "httpclient/iserveridentification.h"
#include "httpclient/pooledhttpclient.h"
#include "httpclient/responsereader.h"

#include <boost/beast/core/error.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <memory>
#include <string>

namespace turmericsill::httpclient {

/// Time for a late thread to handle what has arrived, after which a call that has expired is looked at again.
constexpr foundation::milliseconds lateHandlingAllowance { 20 };

/// A connection of a PooledHttpClient; carries one call at a time. Asynchronous operations keep it alive.
/// While it is connected, one read is always pending, so that a response or a disconnect needs no further system call
/// than the one that receives it.
class ClientConnection : public boost::intrusive_ref_counter<ClientConnection, boost::thread_unsafe_counter>,
                         private TimedCall {
public:
    ~ClientConnection() override;
    ClientConnection(
        boost::asio::io_context& context, PooledHttpClient& client, const IServerIdentification* identification);

    /// Sends a call, after the identification of the server if the call is for one incarnation of it.
    void send(HttpCall call, HttpCallback done, foundation::SteadyTime deadline);

    /// Closes the connection and drops the call in progress without its callback, because the PooledHttpClient is being
    /// destroyed or discards the connection.
    void detach();

    /// Incarnation of the server that the connection leads to; 0 until it has been identified.
    std::int64_t serverIncarnation() const { return serverIncarnation_; }

    /// Whether the connection may lead to an incarnation of the server; 0 stands for any.
    bool canReach(std::int64_t incarnation) const
    {
        return incarnation == 0 || serverIncarnation_ == 0 || serverIncarnation_ == incarnation;
    }

    /// Whether an idle connection can carry a call: the server has neither closed it nor sent unsolicited data.
    bool isUsable();

private:
    void onDeadline() override;
    bool hasUnhandledEvent();
    void begin(HttpCall call, foundation::SteadyTime deadline);
    void writeHeader(const HttpCall& call);
    void connect();
    void write();
    void onWritten(const boost::beast::error_code& error);
    void read();
    void onRead(const boost::beast::error_code& error);
    void parseResponse();
    void onDisconnected(const boost::beast::error_code& error);
    void onResponse();
    void onIdentified(const HttpResponse& response, bool canReuseConnection);
    void fail(foundation::Errc code, const boost::beast::error_code& error);
    void finish(foundation::Result<HttpResponse> result, bool canReuseConnection);
    void abort();
    void close();

    foundation::TcpSocket socket_;
    CallDeadlines& deadlines_;
    ResponseReader reader_;
    PooledHttpClient* client_;
    const IServerIdentification* identification_;
    std::int64_t serverIncarnation_ = 0;
    std::unique_ptr<HttpCall> identifiedCall_; ///< Call that follows the identification in progress.
    std::string header_; ///< Of the request, up to the empty line.
    std::string body_; ///< Of the request.
    std::string operation_;
    HttpCallback done_; ///< Empty while the connection is idle.
    bool isConnected_ = false;
    bool isClosed_ = false;
    bool isWriting_ = false;
    bool isReadFull_ = false; ///< Whether the latest read returned as much as it had asked for.
    std::function<void()> onProgress_;
    bool closesConnection_ = false;
};

} // namespace turmericsill::httpclient
