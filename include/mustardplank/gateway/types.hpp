#pragma once

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/fields.hpp>

#include <chrono>

namespace mustardplank::gateway {

using Executor = boost::asio::io_context::executor_type;
using Tcp = boost::asio::ip::tcp;
using Socket = boost::asio::basic_stream_socket<Tcp, Executor>;
using Acceptor = boost::asio::basic_socket_acceptor<Tcp, Executor>;
using Timer = boost::asio::basic_waitable_timer<std::chrono::steady_clock,
                                                boost::asio::wait_traits<std::chrono::steady_clock>,
                                                Executor>;
using BoostErrorCode = boost::system::error_code;
using Fields = boost::beast::http::fields;

}
