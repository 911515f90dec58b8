#include "httpclient/internal/peerconnection.h"

#include "foundation/traffic.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cerrno>
#include <sys/socket.h>
#include <utility>

namespace turmericsill::httpclient {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using foundation::Errc;
using foundation::failure;
using Self = boost::intrusive_ptr<PeerConnection>;

namespace {

    constexpr std::uint64_t maximumAnswerBytes = 256u << 20; ///< A page of the largest log read fits.

} // namespace

PeerConnection::PeerConnection(asio::io_context& context, HttpPeer& peer)
    : stream_(context)
    , peer_(&peer)
{
}

void PeerConnection::send(HttpCall call, HttpCallback done, foundation::SteadyTime deadline)
{
    step_ = std::move(call.step);
    done_ = std::move(done);
    closes_ = call.closes;
    request_ = {};
    request_.method(call.verb);
    request_.target(call.target);
    request_.version(11);
    request_.set(http::field::host, peer_->address().text());
    request_.keep_alive(!closes_);
    if (!call.body.empty() && !call.contentType.empty())
        request_.set(http::field::content_type, call.contentType);
    for (const auto& [name, value] : call.headers)
        request_.set(name, value);
    request_.body() = std::move(call.body);
    request_.prepare_payload();
    stream_.expires_at(deadline);
    if (connected_)
        return write();
    connect();
}

void PeerConnection::detach()
{
    peer_ = nullptr;
    done_ = nullptr;
    stream_.close();
}

bool PeerConnection::isUsable()
{
    char unasked = 0;
    const auto got = ::recv(stream_.socket().native_handle(), &unasked, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void PeerConnection::connect()
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(peer_->address().ip), peer_->address().port);
    stream_.async_connect(endpoint, [self = Self(this)](beast::error_code error) {
        if (error)
            return self->fail(Errc::Unavailable, error);
        self->connected_ = true;
        beast::error_code ignored; // Without the option the connection is only slower.
        self->stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        self->write();
    });
}

void PeerConnection::write()
{
    http::async_write(stream_, request_, [self = Self(this)](beast::error_code error, std::size_t bytes) {
        foundation::Traffic::ofProcess().sent += bytes;
        self->onWritten(error);
    });
}

void PeerConnection::onWritten(beast::error_code error)
{
    if (error)
        return fail(error == beast::error::timeout ? Errc::Timeout : Errc::ProtocolViolation, error);
    parser_.emplace();
    parser_->body_limit(maximumAnswerBytes);
    http::async_read(stream_, buffer_, *parser_, [self = Self(this)](beast::error_code failed, std::size_t bytes) {
        foundation::Traffic::ofProcess().received += bytes;
        self->onRead(failed);
    });
}

void PeerConnection::onRead(beast::error_code error)
{
    if (error)
        return fail(error == beast::error::timeout ? Errc::Timeout : Errc::ProtocolViolation, error);
    const bool keepsConnection = !closes_ && parser_->get().keep_alive() && buffer_.size() == 0;
    auto message = parser_->release();
    finish(HttpAnswer { message.result_int(), std::move(message.body()) }, keepsConnection);
}

void PeerConnection::fail(Errc code, const beast::error_code& error)
{
    const std::string peer = peer_ ? peer_->address().text() : std::string();
    finish(failure(code, step_, peer, error.message()), false);
}

void PeerConnection::finish(foundation::Result<HttpAnswer> result, bool keepsConnection)
{
    const Self self(this);
    auto done = std::move(done_);
    done_ = nullptr;
    if (keepsConnection) {
        stream_.expires_never();
    } else {
        stream_.close();
        connected_ = false;
    }
    if (peer_ && keepsConnection)
        peer_->release(*this);
    else if (peer_)
        peer_->remove(*this);
    if (done)
        done(std::move(result));
}

} // namespace turmericsill::httpclient
