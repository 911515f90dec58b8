#include "soak/faultproxy.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <string>

namespace turmericsill::soak {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

    tcp::endpoint endpointOf(const foundation::Address& address)
    {
        return { asio::ip::make_address(address.ip), address.port };
    }

} // namespace

/// Connection through a proxy, with a socket on either side.
class ProxyConnection : public boost::intrusive_ref_counter<ProxyConnection, boost::thread_unsafe_counter> {
public:
    ProxyConnection(FaultProxy& proxy, tcp::socket client)
        : proxy_(&proxy)
        , client_(std::move(client))
        , server_(client_.get_executor())
    {
    }

    void start()
    {
        server_.async_connect(endpointOf(proxy_->server_), [self = Self(this)](error_code error) {
            if (error)
                return self->close();
            self->pump(self->requests_, self->client_, self->server_);
            self->pump(self->answers_, self->server_, self->client_);
        });
    }

    void applyFault()
    {
        requests_.isDropping |= proxy_->fault_.dropsRequests;
        answers_.isDropping |= proxy_->fault_.dropsAnswers;
    }

    void reset()
    {
        error_code ignored; // A closed socket needs no reset.
        client_.set_option(asio::socket_base::linger(true, 0), ignored);
        server_.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }

private:
    using Self = boost::intrusive_ptr<ProxyConnection>;

    struct Direction {
        std::array<char, 16384> buffer {};
        bool isDropping = false;
    };

    void pump(Direction& direction, tcp::socket& from, tcp::socket& to)
    {
        from.async_read_some(asio::buffer(direction.buffer),
            [self = Self(this), &direction, &from, &to](error_code error, std::size_t n) {
                if (error || !self->proxy_)
                    return self->close();
                if (direction.isDropping)
                    return self->pump(direction, from, to);
                self->forwardAfterDelay(direction, from, to, n);
            });
    }

    void forwardAfterDelay(Direction& direction, tcp::socket& from, tcp::socket& to, std::size_t bytes)
    {
        auto timer = std::make_shared<asio::steady_timer>(proxy_->context_, proxy_->fault_.delay);
        timer->async_wait([self = Self(this), timer, &direction, &from, &to, bytes](error_code) {
            asio::async_write(to, asio::buffer(direction.buffer, bytes),
                [self, &direction, &from, &to](error_code error, std::size_t) {
                    if (error || !self->proxy_)
                        return self->close();
                    self->pump(direction, from, to);
                });
        });
    }

    void close()
    {
        error_code ignored; // Either socket may be closed already.
        client_.close(ignored);
        server_.close(ignored);
        if (FaultProxy* proxy = std::exchange(proxy_, nullptr))
            proxy->connections_.erase(Self(this));
    }

    FaultProxy* proxy_;
    tcp::socket client_;
    tcp::socket server_;
    Direction requests_;
    Direction answers_;
};

FaultProxy::FaultProxy(asio::io_context& context, const foundation::Address& address, foundation::Address server)
    : context_(context)
    , acceptor_(context, endpointOf(address))
    , server_(std::move(server))
{
    accept();
}

FaultProxy::~FaultProxy() { resetConnections(); }

void FaultProxy::accept()
{
    acceptor_.async_accept([this](error_code error, tcp::socket client) {
        if (!error && !fault_.refusesConnections) {
            const boost::intrusive_ptr<ProxyConnection> connection(new ProxyConnection(*this, std::move(client)));
            connections_.insert(connection);
            connection->applyFault();
            connection->start();
        }
        accept();
    });
}

void FaultProxy::setFault(const ConnectionFault& fault)
{
    fault_ = fault;
    for (const auto& connection : connections_)
        connection->applyFault();
}

void FaultProxy::resetConnections()
{
    const auto connections = connections_;
    for (const auto& connection : connections)
        connection->reset();
}

} // namespace turmericsill::soak
