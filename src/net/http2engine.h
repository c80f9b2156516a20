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

// Receives the events of the streams of an engine. The functions are called within `Http2Engine::receive` and `Http2Engine::takeOutput`.
class Http2Observer
{
public:
    using StreamId = std::int32_t;

    virtual ~Http2Observer() = default;

    // Server side: a complete request has arrived.
    virtual void onRequestReceived(StreamId stream, HttpRequest request) = 0;
    // Client side: a complete response has arrived.
    virtual void onResponseReceived(StreamId stream, HttpResponse response) = 0;
    // The stream ended before its response was complete. On the server side, called only if the request was reported and has no response.
    virtual void onStreamFailed(StreamId stream, ExchangeError error) = 0;
    // Server side: a stream whose request was reported has ended, after its response was sent or without one.
    virtual void onStreamEnded(StreamId)
    {
    }
};

struct Http2Options
{
    // Side of the session: accepts streams if true, opens them if false.
    bool isServer = false;
    HttpLimits limits;
    // Streams that the peer may have open at the same time.
    std::uint32_t maxConcurrentStreams = 4096;
    // Body bytes of incomplete messages that the session holds; a stream that exceeds the limit is refused.
    std::size_t maxBufferedBytes = std::size_t{64} * 1024 * 1024;
    // Names of header fields whose values never repeat. They are not added to the HPACK table, where they would evict fields that repeat.
    std::vector<std::string> unindexedFields;
};

// Protocol engine of one HTTP/2 session without I/O: consumes received bytes and produces bytes to send. Requests and responses are
// buffered until they are complete. Not thread-safe.
class Http2Engine
{
public:
    using StreamId = Http2Observer::StreamId;

    Http2Engine(Http2Observer &observer, const Http2Options &options);
    ~Http2Engine();
    Http2Engine(const Http2Engine &) = delete;
    Http2Engine &operator=(const Http2Engine &) = delete;

    // Processes received bytes. False if the session has failed; the connection must then be closed.
    bool receive(std::string_view input);
    // Appends bytes to send until `output` has at least `limit` bytes or nothing is left to send. False if the session has failed.
    bool takeOutput(std::string &output, std::size_t limit);
    // Client side: opens a stream and returns its identifier, or a negative number if the session accepts no further streams. Fields in
    // `extra` replace header fields of the request; a field with an empty value is omitted. `extra` must contain `:path`.
    StreamId submitRequest(const std::shared_ptr<const HttpRequest> &request, const HttpHeaders &extra);
    // Server side: sends the response of a stream. Does nothing if the stream has ended.
    void submitResponse(StreamId stream, HttpResponse response);
    // Resets a stream. The observer is not notified.
    void cancel(StreamId stream);
    // Sends a PING frame; the peer has to acknowledge it.
    void ping();
    // Sends a GOAWAY frame, so that the peer opens no further streams. On the server side, streams that the peer opens before it receives
    // the frame are still processed.
    void announceShutdown();

    std::size_t openStreamCount() const;
    // True if the session has nothing more to send or receive.
    bool isFinished() const;
    // True if the peer or this side has sent GOAWAY.
    bool isShuttingDown() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace wisteriafork
