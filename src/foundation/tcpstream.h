#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/basic_stream.hpp>

namespace turmericsill::foundation {

/// TCP stream with timeouts whose executor type is fixed to that of io_context.
/// The type-erased executor of beast::tcp_stream would be copied several times for each operation.
using TcpStream = boost::beast::basic_stream<boost::asio::ip::tcp, boost::asio::io_context::executor_type>;

/// TCP socket with the executor type of TcpStream.
using TcpSocket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, boost::asio::io_context::executor_type>;

} // namespace turmericsill::foundation
