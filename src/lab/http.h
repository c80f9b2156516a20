#pragma once

#include "lab/asio.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace wisteriafork::lab {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

} // namespace wisteriafork::lab
