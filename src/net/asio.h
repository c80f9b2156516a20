#pragma once

// Includes Asio for the whole project. Asio of Boost 1.74 uses std::exchange without including <utility>, which g++ 12 rejects in C++20
// mode, so <utility> must come first.
#include <chrono>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>

namespace wisteriafork {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Strand = asio::strand<asio::io_context::executor_type>;
// Sockets and timers with a strand as their executor type, which avoids the type-erased executor on each operation.
using Socket = asio::basic_stream_socket<Tcp, Strand>;
using Acceptor = asio::basic_socket_acceptor<Tcp, Strand>;
using Timer = asio::basic_waitable_timer<std::chrono::steady_clock, asio::wait_traits<std::chrono::steady_clock>, Strand>;
using ErrorCode = boost::system::error_code;

} // namespace wisteriafork
