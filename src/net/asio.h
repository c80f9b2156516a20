#pragma once

// Asio of Boost 1.74 uses std::exchange without including its header, which g++ 12 rejects in C++20 mode. All files of the project include
// Asio through this header.
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
using ErrorCode = boost::system::error_code;

} // namespace wisteriafork
