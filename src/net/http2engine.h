#pragma once

#include "net/clientexchange.h"
#include "net/httplimits.h"
#include "net/httpmessage.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriafork {

// Told by the engine about streams. Called within `receive` and `takeOutput`.
class Http2Observer
{
public:
    using StreamId = std::int32_t;

    virtual ~Http2Observer() = default;

    // Server side: a whole request has arrived.
    virtual void requestReceived(StreamId stream, HttpRequest request) = 0;
    // Client side: a whole answer has arrived.
    virtual void responseReceived(StreamId stream, HttpResponse response) = 0;
    // The stream ended without a whole answer.
    virtual void streamFailed(StreamId stream, ExchangeError error) = 0;
};

struct Http2Options
{
    bool server = false;
    HttpLimits limits;
    std::uint32_t maxConcurrentStreams = 4096;
    std::size_t maxBufferedBytes = std::size_t{64} * 1024 * 1024;
    // Header fields whose values never repeat. They are kept out of the compression table, where they would displace those that do.
    std::vector<std::string> unindexedFields;
};

// One HTTP/2 session without I/O: takes received bytes and gives bytes to send. Requests and answers are collected whole. Not thread safe.
class Http2Engine
{
public:
    using StreamId = Http2Observer::StreamId;

    Http2Engine(Http2Observer &observer, const Http2Options &options);
    ~Http2Engine();
    Http2Engine(const Http2Engine &) = delete;
    Http2Engine &operator=(const Http2Engine &) = delete;

    // Processes received bytes. False if the session is broken and the connection must be closed.
    bool receive(std::string_view input);
    // Appends bytes to send, up to about `limit`. False if the session is broken.
    bool takeOutput(std::string &output, std::size_t limit);
    // Client side: starts a stream. `extra` replaces header fields of the request; one with an empty value leaves the field out. Negative
    // if no stream can be started any more.
    StreamId submitRequest(const std::shared_ptr<const HttpRequest> &request, const HttpHeaders &extra);
    // Server side: answers a stream. Does nothing if the stream has ended.
    void submitResponse(StreamId stream, HttpResponse response);
    // Cancels a stream. The observer is not told.
    void cancel(StreamId stream);
    void ping();
    // Asks the peer to open no further streams. On the server side, streams that it has opened before it learns of this are still taken.
    void announceShutdown();

    std::size_t openStreams() const;
    // True if the session has nothing more to send or receive.
    bool finished() const;
    // True if the peer or this side has announced the end of the session.
    bool shuttingDown() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace wisteriafork
