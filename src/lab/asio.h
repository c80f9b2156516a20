#pragma once

// Asio of Boost 1.74 uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio.hpp>
