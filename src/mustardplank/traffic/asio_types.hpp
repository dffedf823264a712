#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>

namespace mustardplank::traffic {

// The executor is named instead of type-erased: a relayed token then costs no virtual calls in
// Asio.
using Executor = boost::asio::io_context::executor_type;
using Tcp = boost::asio::ip::tcp;
using Socket = boost::asio::basic_stream_socket<Tcp, Executor>;
using Acceptor = boost::asio::basic_socket_acceptor<Tcp, Executor>;
using Timer = boost::asio::basic_waitable_timer<std::chrono::steady_clock,
                                                boost::asio::wait_traits<std::chrono::steady_clock>,
                                                Executor>;
template<typename T>
using Task = boost::asio::awaitable<T, Executor>;

/// Completion token: `auto [ec, n] = co_await socket.async_read_some(buffer, kAwait);`
inline constexpr boost::asio::as_tuple_t<boost::asio::use_awaitable_t<Executor>> kAwait{};

}
