#pragma once

#include "lab/asio.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace wisteriafork::lab {

// A call that a stand-in server makes to another service for each request that it executes.
struct ChildCall
{
    std::string method;
    std::string path;
};

// How a stand-in server marks the end of its responses.
enum class ResponseFraming : std::uint8_t {
    // By a length.
    Length,
    // By chunks.
    Chunked,
    // By the end of the connection.
    Close,
    // By one of the others, drawn for each response.
    Mixed,
};

struct StandinServerOptions
{
    // Name in responses, for example "registar-osijek-1".
    std::string name;
    std::uint16_t port = 0;
    std::size_t slots = 10;
    // Limit of the requests that wait for a slot; further ones get status 503.
    std::size_t maxQueueLength = 400;
    // Mean of the exponentially distributed service time. Child calls come in addition.
    std::chrono::microseconds meanServiceTime{20000};
    std::uint64_t seed = 1;
    std::vector<ChildCall> childCalls;
    // Where child calls are sent: the listener of the local node, or instances of the called service if no node is used.
    std::vector<boost::asio::ip::tcp::endpoint> targets;
    // Maximum number of attempts per child call, each at the next target.
    unsigned attemptsPerCall = 1;
    // Upper limit of the timeout of each attempt of a child call; an earlier deadline of the request shortens it.
    std::chrono::milliseconds callTimeout{2000};
    // File to which executions are appended; none if empty.
    std::string recordFile;
    // File to which executions and the responses to child calls are appended with their details; none if empty.
    std::string journalFile;
    ResponseFraming framing = ResponseFraming::Length;
    // Upper limit of the size, in bytes, of a text that is added to successful responses; the size is drawn.
    std::size_t maxPaddingBytes = 0;
};

} // namespace wisteriafork::lab
