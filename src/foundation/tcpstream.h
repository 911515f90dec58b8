#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/basic_stream.hpp>

namespace turmericsill::foundation {

/// TCP stream with timeouts on one thread's context. The executor's type is fixed,
/// because the type-erased one of beast::tcp_stream costs several copies for each operation.
using TcpStream = boost::beast::basic_stream<boost::asio::ip::tcp, boost::asio::io_context::executor_type>;

using TcpSocket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, boost::asio::io_context::executor_type>;

} // namespace turmericsill::foundation
