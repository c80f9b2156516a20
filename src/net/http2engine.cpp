#include "net/http2engine.h"

#include "net/http2stream.h"

#include <algorithm>
#include <cstring>
#include <unordered_map>
#include <vector>

#include <nghttp2/nghttp2.h>

namespace wisteriafork {

namespace {

// Flow-control windows. They are large enough that a body of usual size is sent without waiting for window updates.
constexpr std::int32_t StreamWindowBytes = 2 * 1024 * 1024;
constexpr std::int32_t ConnectionWindowBytes = 32 * 1024 * 1024;
// Header field with the length of the response to a HEAD request. `content-length` would have to match the empty body of the stream.
constexpr std::string_view HeadLengthField = "wf-head-length";
// Size of the fields that a node adds to the header of a caller's request or of a response.
constexpr std::size_t AddedHeaderBytes = std::size_t{8} * 1024;

} // namespace

class Http2Engine::Impl
{
public:
    Impl(Http2Observer &http2Observer, const Http2Options &http2Options) : observer(http2Observer), options(http2Options)
    {
        nghttp2_session_callbacks *callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, onBeginHeaders);
        nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onData);
        nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrameReceived);
        nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, onFrameSent);
        nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onStreamClose);
        if (options.isServer) {
            nghttp2_session_server_new(&session, callbacks, this);
        } else {
            nghttp2_session_client_new(&session, callbacks, this);
        }
        nghttp2_session_callbacks_del(callbacks);
        const nghttp2_settings_entry settings[] = {
            {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, options.maxConcurrentStreams},
            {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(StreamWindowBytes)},
            {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
        };
        nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, settings, options.isServer ? 2 : 3);
        nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0, ConnectionWindowBytes);
    }

    ~Impl()
    {
        nghttp2_session_del(session);
    }

    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    Http2Stream *findStream(StreamId id)
    {
        const auto found = streams.find(id);
        return found == streams.end() ? nullptr : found->second.get();
    }

    void resetStream(StreamId id, std::uint32_t code)
    {
        nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id, code);
    }

    // Stores a received header field in the incoming message of the stream.
    void storeHeaderField(Http2Stream &stream, std::string_view name, std::string_view value) const
    {
        HttpHeaders &headers = options.isServer ? stream.request.headers : stream.response.headers;
        std::uint64_t number = 0;
        if (name == ":method") {
            stream.request.method = value;
        } else if (name == ":path") {
            stream.request.target = value;
        } else if (name == ":status") {
            stream.response.status = parseHttp2Number(value, number) ? static_cast<unsigned>(number) : 0;
        } else if (name == HeadLengthField && !options.isServer) {
            if (parseHttp2Number(value, number)) {
                stream.response.headContentLength = number;
            }
        } else if (!name.starts_with(':')) {
            headers.add(std::string(name), std::string(value));
        }
    }

    // Appends received bytes to the incoming body, or resets the stream if a limit is exceeded.
    void appendBody(StreamId id, Http2Stream &stream, std::string_view data)
    {
        std::string &body = options.isServer ? stream.request.body : stream.response.body;
        const std::size_t limit = options.isServer ? options.limits.requestBodyBytes : options.limits.responseBodyBytes;
        if (stream.bodyTooLarge || stream.refused) {
            return;
        }
        if (body.size() + data.size() > limit) {
            stream.bodyTooLarge = true;
            discardBody(stream, body);
            resetStream(id, NGHTTP2_CANCEL);
            return;
        }
        if (!stream.reservation) {
            stream.reservation = std::make_shared<BufferReservation>(options.limits.bufferBudget);
        }
        if (bufferedBytes + data.size() > options.maxBufferedBytes || !stream.reservation->resize(body.size() + data.size())) {
            stream.refused = options.isServer;
            stream.bodyTooLarge = !options.isServer;
            discardBody(stream, body);
            resetStream(id, options.isServer ? NGHTTP2_REFUSED_STREAM : NGHTTP2_CANCEL);
            return;
        }
        bufferedBytes += data.size();
        body.append(data);
    }

    // Frees the incoming body of a stream that is being reset.
    void discardBody(Http2Stream &stream, std::string &body)
    {
        bufferedBytes -= body.size();
        body = {};
        stream.reservation.reset();
    }

    // Passes the complete incoming message to the observer.
    void completeMessage(StreamId id, Http2Stream &stream)
    {
        if (stream.complete || stream.cancelled || stream.bodyTooLarge || stream.refused) {
            return;
        }
        stream.complete = true;
        if (options.isServer) {
            bufferedBytes -= stream.request.body.size();
            stream.request.reservation = std::move(stream.reservation);
            observer.onRequestReceived(id, std::move(stream.request));
        } else {
            bufferedBytes -= stream.response.body.size();
            stream.response.reservation = std::move(stream.reservation);
            observer.onResponseReceived(id, std::move(stream.response));
        }
    }

    // Removes a closed stream and reports it as failed if the observer expects further events of it.
    void removeStream(StreamId id)
    {
        const auto found = streams.find(id);
        if (found == streams.end()) {
            return;
        }
        const std::unique_ptr<Http2Stream> stream = std::move(found->second);
        streams.erase(found);
        if (options.isServer && stream->complete) {
            observer.onStreamEnded(id);
        }
        if (!stream->complete) {
            bufferedBytes -= options.isServer ? stream->request.body.size() : stream->response.body.size();
        }
        const bool needsNoReport = options.isServer ? !stream->complete || stream->responseSubmitted : stream->complete;
        if (stream->cancelled || needsNoReport) {
            return;
        }
        ExchangeError error = ExchangeError::Interrupted;
        if (stream->bodyTooLarge) {
            error = ExchangeError::ResponseTooLarge;
        } else if (!options.isServer && !stream->headerSent) {
            error = ExchangeError::NotProcessed;
        } else if (stream->refusedByPeer) {
            error = ExchangeError::Refused;
        }
        observer.onStreamFailed(id, error);
    }

    // Header field to send, marked if it must not be added to the HPACK table.
    nghttp2_nv headerField(std::string_view name, std::string_view value) const
    {
        nghttp2_nv encoded = http2Field(name, value);
        if (std::ranges::find(options.unindexedFields, name) != options.unindexedFields.end()) {
            encoded.flags |= NGHTTP2_NV_FLAG_NO_INDEX;
        }
        return encoded;
    }

    static Impl &fromUserData(void *userData)
    {
        return *static_cast<Impl *>(userData);
    }

    static int onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *userData)
    {
        Impl &engine = fromUserData(userData);
        if (engine.options.isServer && frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
            engine.streams.emplace(frame->hd.stream_id, std::make_unique<Http2Stream>());
        }
        return 0;
    }

    static int onHeader(nghttp2_session *, const nghttp2_frame *frame, const std::uint8_t *name, std::size_t nameSize,
                        const std::uint8_t *value, std::size_t valueSize, std::uint8_t, void *userData)
    {
        Impl &engine = fromUserData(userData);
        Http2Stream *stream = engine.findStream(frame->hd.stream_id);
        if (stream == nullptr || frame->hd.type != NGHTTP2_HEADERS) {
            return 0;
        }
        stream->headerBytes += nameSize + valueSize;
        if (stream->headerBytes > engine.options.limits.headerBytes + AddedHeaderBytes) {
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        }
        engine.storeHeaderField(*stream, http2Text(name, nameSize), http2Text(value, valueSize));
        return 0;
    }

    static int onData(nghttp2_session *, std::uint8_t, StreamId id, const std::uint8_t *data, std::size_t size, void *userData)
    {
        Impl &engine = fromUserData(userData);
        if (Http2Stream *stream = engine.findStream(id)) {
            engine.appendBody(id, *stream, http2Text(data, size));
        }
        return 0;
    }

    static int onFrameReceived(nghttp2_session *, const nghttp2_frame *frame, void *userData)
    {
        Impl &engine = fromUserData(userData);
        if (frame->hd.type == NGHTTP2_GOAWAY) {
            engine.peerAnnouncedShutdown = true;
        }
        // nghttp2 also closes streams with REFUSED_STREAM that a GOAWAY frame counts as not processed. The peer may have processed them: it
        // goes on to receive streams until it has sent the frame.
        if (frame->hd.type == NGHTTP2_RST_STREAM && frame->rst_stream.error_code == NGHTTP2_REFUSED_STREAM) {
            if (Http2Stream *stream = engine.findStream(frame->hd.stream_id)) {
                stream->refusedByPeer = true;
            }
        }
        const bool isMessageFrame = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
        if (!isMessageFrame || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) {
            return 0;
        }
        if (Http2Stream *stream = engine.findStream(frame->hd.stream_id)) {
            engine.completeMessage(frame->hd.stream_id, *stream);
        }
        return 0;
    }

    static int onFrameSent(nghttp2_session *, const nghttp2_frame *frame, void *userData)
    {
        if (frame->hd.type == NGHTTP2_HEADERS) {
            if (Http2Stream *stream = fromUserData(userData).findStream(frame->hd.stream_id)) {
                stream->headerSent = true;
            }
        }
        return 0;
    }

    static int onStreamClose(nghttp2_session *, StreamId id, std::uint32_t, void *userData)
    {
        fromUserData(userData).removeStream(id);
        return 0;
    }

    // Copies the next bytes of an outgoing body into a DATA frame.
    static ssize_t readBody(nghttp2_session *, StreamId, std::uint8_t *buffer, std::size_t size, std::uint32_t *flags,
                            nghttp2_data_source *source, void *)
    {
        Http2Stream &stream = *static_cast<Http2Stream *>(source->ptr);
        const std::string_view rest = stream.bodyToSend().substr(stream.sentBodyBytes);
        const std::size_t count = std::min(size, rest.size());
        std::memcpy(buffer, rest.data(), count);
        stream.sentBodyBytes += count;
        if (count == rest.size()) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        }
        return static_cast<ssize_t>(count);
    }

    Http2Observer &observer;
    const Http2Options options;
    nghttp2_session *session = nullptr;
    std::unordered_map<StreamId, std::unique_ptr<Http2Stream>> streams;
    // Body bytes of incomplete incoming messages.
    std::size_t bufferedBytes = 0;
    bool peerAnnouncedShutdown = false;
    bool announcedShutdown = false;
};

Http2Engine::Http2Engine(Http2Observer &observer, const Http2Options &options) : m_impl(std::make_unique<Impl>(observer, options))
{
}

Http2Engine::~Http2Engine() = default;

bool Http2Engine::receive(std::string_view input)
{
    const ssize_t consumed = nghttp2_session_mem_recv(m_impl->session, reinterpret_cast<const std::uint8_t *>(input.data()), input.size());
    return consumed == static_cast<ssize_t>(input.size());
}

bool Http2Engine::takeOutput(std::string &output, std::size_t limit)
{
    while (output.size() < limit) {
        const std::uint8_t *data = nullptr;
        const ssize_t size = nghttp2_session_mem_send(m_impl->session, &data);
        if (size < 0) {
            return false;
        }
        if (size == 0) {
            return true;
        }
        output.append(http2Text(data, static_cast<std::size_t>(size)));
    }
    return true;
}

Http2Engine::StreamId Http2Engine::submitRequest(const std::shared_ptr<const HttpRequest> &request, const HttpHeaders &extra)
{
    std::vector<nghttp2_nv> fields;
    fields.reserve(4 + request->headers.fields().size() + extra.fields().size());
    fields.push_back(http2Field(":method", "POST"));
    fields.push_back(http2Field(":scheme", "http"));
    fields.push_back(http2Field(":path", extra.find(":path")));
    fields.push_back(http2Field(":authority", "node"));
    for (const auto &[name, value] : request->headers.fields()) {
        if (!extra.contains(name)) {
            fields.push_back(m_impl->headerField(name, value));
        }
    }
    for (const auto &[name, value] : extra.fields()) {
        if (!name.starts_with(':') && !value.empty()) {
            fields.push_back(m_impl->headerField(name, value));
        }
    }
    auto stream = std::make_unique<Http2Stream>();
    stream->outgoingRequest = request;
    const nghttp2_data_provider provider{.source = {.ptr = stream.get()}, .read_callback = Impl::readBody};
    const StreamId id = nghttp2_submit_request(m_impl->session, nullptr, fields.data(), fields.size(),
                                               request->body.empty() ? nullptr : &provider, nullptr);
    if (id >= 0) {
        m_impl->streams.emplace(id, std::move(stream));
    }
    return id;
}

void Http2Engine::submitResponse(StreamId id, HttpResponse response)
{
    Http2Stream *stream = m_impl->findStream(id);
    if (stream == nullptr || stream->responseSubmitted) {
        return;
    }
    stream->responseSubmitted = true;
    const std::string status = std::to_string(response.status);
    const std::string headContentLength = response.headContentLength ? std::to_string(*response.headContentLength) : std::string();
    std::vector<nghttp2_nv> fields;
    fields.reserve(2 + response.headers.fields().size());
    fields.push_back(http2Field(":status", status));
    if (response.headContentLength) {
        fields.push_back(http2Field(HeadLengthField, headContentLength));
    }
    for (const auto &[name, value] : response.headers.fields()) {
        fields.push_back(m_impl->headerField(name, value));
    }
    stream->outgoingBody = std::move(response.body);
    stream->outgoingReservation = std::move(response.reservation);
    const nghttp2_data_provider provider{.source = {.ptr = stream}, .read_callback = Impl::readBody};
    const int result
        = nghttp2_submit_response(m_impl->session, id, fields.data(), fields.size(), stream->outgoingBody.empty() ? nullptr : &provider);
    if (result != 0) {
        m_impl->resetStream(id, NGHTTP2_INTERNAL_ERROR);
    }
}

void Http2Engine::cancel(StreamId id)
{
    if (Http2Stream *stream = m_impl->findStream(id)) {
        stream->cancelled = true;
        m_impl->resetStream(id, NGHTTP2_CANCEL);
    }
}

void Http2Engine::ping()
{
    nghttp2_submit_ping(m_impl->session, NGHTTP2_FLAG_NONE, nullptr);
}

void Http2Engine::announceShutdown()
{
    if (m_impl->announcedShutdown) {
        return;
    }
    m_impl->announcedShutdown = true;
    if (m_impl->options.isServer) {
        // The notice contains no last stream identifier. With one, the sender would regard a request that is in transit as not processed
        // although this side processes it.
        nghttp2_submit_shutdown_notice(m_impl->session);
    } else {
        nghttp2_submit_goaway(m_impl->session, NGHTTP2_FLAG_NONE, 0, NGHTTP2_NO_ERROR, nullptr, 0);
    }
}

std::size_t Http2Engine::openStreamCount() const
{
    return m_impl->streams.size();
}

bool Http2Engine::isFinished() const
{
    return nghttp2_session_want_read(m_impl->session) == 0 && nghttp2_session_want_write(m_impl->session) == 0;
}

bool Http2Engine::isShuttingDown() const
{
    return m_impl->announcedShutdown || m_impl->peerAnnouncedShutdown;
}

} // namespace wisteriafork
