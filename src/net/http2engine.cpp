#include "net/http2engine.h"

#include "net/http2stream.h"

#include <algorithm>
#include <cstring>
#include <unordered_map>
#include <vector>

#include <nghttp2/nghttp2.h>

namespace wisteriafork {

namespace {

// Windows are large enough that a body within the limits of a call is sent without waiting for window updates.
constexpr std::int32_t StreamWindow = 2 * 1024 * 1024;
constexpr std::int32_t ConnectionWindow = 32 * 1024 * 1024;
// Header field that carries the length of an answer to HEAD. `content-length` itself would have to match the (empty) body of the stream.
constexpr std::string_view HeadLengthField = "wf-head-length";

} // namespace

class Http2Engine::Private
{
public:
    Private(Http2Observer &http2Observer, const Http2Options &http2Options) : observer(http2Observer), options(http2Options)
    {
        nghttp2_session_callbacks *callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, onBeginHeaders);
        nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onData);
        nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrame);
        nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, onFrameSent);
        nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onStreamClose);
        if (options.server) {
            nghttp2_session_server_new(&session, callbacks, this);
        } else {
            nghttp2_session_client_new(&session, callbacks, this);
        }
        nghttp2_session_callbacks_del(callbacks);
        const nghttp2_settings_entry settings[] = {
            {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, options.maxConcurrentStreams},
            {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(StreamWindow)},
            {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
        };
        nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, settings, options.server ? 2 : 3);
        nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0, ConnectionWindow);
    }

    ~Private()
    {
        nghttp2_session_del(session);
    }

    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    Http2Stream *find(StreamId id)
    {
        const auto found = streams.find(id);
        return found == streams.end() ? nullptr : found->second.get();
    }

    void reset(StreamId id, std::uint32_t code)
    {
        nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id, code);
    }

    void takeHeader(Http2Stream &stream, std::string_view name, std::string_view value) const
    {
        HttpHeaders &headers = options.server ? stream.request.headers : stream.response.headers;
        std::uint64_t number = 0;
        if (name == ":method") {
            stream.request.method = value;
        } else if (name == ":path") {
            stream.request.target = value;
        } else if (name == ":status") {
            stream.response.status = parseHttp2Number(value, number) ? static_cast<unsigned>(number) : 0;
        } else if (name == HeadLengthField && !options.server) {
            if (parseHttp2Number(value, number)) {
                stream.response.headLength = number;
            }
        } else if (!name.starts_with(':')) {
            headers.add(std::string(name), std::string(value));
        }
    }

    void addData(StreamId id, Http2Stream &stream, std::string_view data)
    {
        std::string &body = options.server ? stream.request.body : stream.response.body;
        const std::size_t limit = options.server ? options.limits.requestBodyBytes : options.limits.responseBodyBytes;
        if (stream.tooLarge) {
            return;
        }
        if (body.size() + data.size() > limit) {
            stream.tooLarge = true;
            reset(id, NGHTTP2_CANCEL);
            return;
        }
        if (buffered + data.size() > options.maxBufferedBytes) {
            reset(id, NGHTTP2_REFUSED_STREAM);
            return;
        }
        buffered += data.size();
        body.append(data);
    }

    void messageEnded(StreamId id, Http2Stream &stream)
    {
        if (stream.complete || stream.cancelled || stream.tooLarge) {
            return;
        }
        stream.complete = true;
        if (options.server) {
            buffered -= stream.request.body.size();
            observer.requestReceived(id, std::move(stream.request));
        } else {
            buffered -= stream.response.body.size();
            observer.responseReceived(id, std::move(stream.response));
        }
    }

    void streamClosed(StreamId id, std::uint32_t errorCode)
    {
        const auto found = streams.find(id);
        if (found == streams.end()) {
            return;
        }
        const std::unique_ptr<Http2Stream> stream = std::move(found->second);
        streams.erase(found);
        if (!stream->complete) {
            buffered -= options.server ? stream->request.body.size() : stream->response.body.size();
        }
        const bool ended = options.server ? !stream->complete || stream->answered : stream->complete;
        if (stream->cancelled || ended) {
            return;
        }
        ExchangeError error = ExchangeError::Interrupted;
        if (stream->tooLarge) {
            error = ExchangeError::ResponseTooLarge;
        } else if (errorCode == NGHTTP2_REFUSED_STREAM || (!options.server && !stream->headerSent)) {
            error = ExchangeError::NotProcessed;
        }
        observer.streamFailed(id, error);
    }

    nghttp2_nv field(std::string_view name, std::string_view value) const
    {
        nghttp2_nv encoded = http2Field(name, value);
        if (std::ranges::find(options.unindexedFields, name) != options.unindexedFields.end()) {
            encoded.flags |= NGHTTP2_NV_FLAG_NO_INDEX;
        }
        return encoded;
    }

    static Private &self(void *userData)
    {
        return *static_cast<Private *>(userData);
    }

    static int onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *userData)
    {
        Private &engine = self(userData);
        if (engine.options.server && frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
            engine.streams.emplace(frame->hd.stream_id, std::make_unique<Http2Stream>());
        }
        return 0;
    }

    static int onHeader(nghttp2_session *, const nghttp2_frame *frame, const std::uint8_t *name, std::size_t nameSize,
                        const std::uint8_t *value, std::size_t valueSize, std::uint8_t, void *userData)
    {
        Private &engine = self(userData);
        Http2Stream *stream = engine.find(frame->hd.stream_id);
        if (stream == nullptr || frame->hd.type != NGHTTP2_HEADERS) {
            return 0;
        }
        stream->headerBytes += nameSize + valueSize;
        if (stream->headerBytes > 2 * engine.options.limits.headerBytes) {
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        }
        engine.takeHeader(*stream, http2Text(name, nameSize), http2Text(value, valueSize));
        return 0;
    }

    static int onData(nghttp2_session *, std::uint8_t, StreamId id, const std::uint8_t *data, std::size_t size, void *userData)
    {
        Private &engine = self(userData);
        if (Http2Stream *stream = engine.find(id)) {
            engine.addData(id, *stream, http2Text(data, size));
        }
        return 0;
    }

    static int onFrame(nghttp2_session *, const nghttp2_frame *frame, void *userData)
    {
        Private &engine = self(userData);
        if (frame->hd.type == NGHTTP2_GOAWAY) {
            engine.peerShutDown = true;
        }
        const bool message = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
        if (!message || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) {
            return 0;
        }
        if (Http2Stream *stream = engine.find(frame->hd.stream_id)) {
            engine.messageEnded(frame->hd.stream_id, *stream);
        }
        return 0;
    }

    static int onFrameSent(nghttp2_session *, const nghttp2_frame *frame, void *userData)
    {
        if (frame->hd.type == NGHTTP2_HEADERS) {
            if (Http2Stream *stream = self(userData).find(frame->hd.stream_id)) {
                stream->headerSent = true;
            }
        }
        return 0;
    }

    static int onStreamClose(nghttp2_session *, StreamId id, std::uint32_t errorCode, void *userData)
    {
        self(userData).streamClosed(id, errorCode);
        return 0;
    }

    static ssize_t readBody(nghttp2_session *, StreamId, std::uint8_t *buffer, std::size_t size, std::uint32_t *flags,
                            nghttp2_data_source *source, void *)
    {
        Http2Stream &stream = *static_cast<Http2Stream *>(source->ptr);
        const std::string_view rest = stream.body().substr(stream.sent);
        const std::size_t count = std::min(size, rest.size());
        std::memcpy(buffer, rest.data(), count);
        stream.sent += count;
        if (count == rest.size()) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        }
        return static_cast<ssize_t>(count);
    }

    Http2Observer &observer;
    const Http2Options options;
    nghttp2_session *session = nullptr;
    std::unordered_map<StreamId, std::unique_ptr<Http2Stream>> streams;
    // Body bytes of messages that are not complete.
    std::size_t buffered = 0;
    bool peerShutDown = false;
    bool shutDown = false;
};

Http2Engine::Http2Engine(Http2Observer &observer, const Http2Options &options) : d(std::make_unique<Private>(observer, options))
{
}

Http2Engine::~Http2Engine() = default;

bool Http2Engine::receive(std::string_view input)
{
    const ssize_t used = nghttp2_session_mem_recv(d->session, reinterpret_cast<const std::uint8_t *>(input.data()), input.size());
    return used == static_cast<ssize_t>(input.size());
}

bool Http2Engine::takeOutput(std::string &output, std::size_t limit)
{
    while (output.size() < limit) {
        const std::uint8_t *data = nullptr;
        const ssize_t size = nghttp2_session_mem_send(d->session, &data);
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
            fields.push_back(d->field(name, value));
        }
    }
    for (const auto &[name, value] : extra.fields()) {
        if (!name.starts_with(':') && !value.empty()) {
            fields.push_back(d->field(name, value));
        }
    }
    auto stream = std::make_unique<Http2Stream>();
    stream->outgoingRequest = request;
    const nghttp2_data_provider provider{.source = {.ptr = stream.get()}, .read_callback = Private::readBody};
    const StreamId id
        = nghttp2_submit_request(d->session, nullptr, fields.data(), fields.size(), request->body.empty() ? nullptr : &provider, nullptr);
    if (id >= 0) {
        d->streams.emplace(id, std::move(stream));
    }
    return id;
}

void Http2Engine::submitResponse(StreamId id, HttpResponse response)
{
    Http2Stream *stream = d->find(id);
    if (stream == nullptr || stream->answered) {
        return;
    }
    stream->answered = true;
    const std::string status = std::to_string(response.status);
    const std::string headLength = response.headLength ? std::to_string(*response.headLength) : std::string();
    std::vector<nghttp2_nv> fields;
    fields.reserve(2 + response.headers.fields().size());
    fields.push_back(http2Field(":status", status));
    if (response.headLength) {
        fields.push_back(http2Field(HeadLengthField, headLength));
    }
    for (const auto &[name, value] : response.headers.fields()) {
        fields.push_back(d->field(name, value));
    }
    stream->outgoingBody = std::move(response.body);
    const nghttp2_data_provider provider{.source = {.ptr = stream}, .read_callback = Private::readBody};
    const int result
        = nghttp2_submit_response(d->session, id, fields.data(), fields.size(), stream->outgoingBody.empty() ? nullptr : &provider);
    if (result != 0) {
        d->reset(id, NGHTTP2_INTERNAL_ERROR);
    }
}

void Http2Engine::cancel(StreamId id)
{
    if (Http2Stream *stream = d->find(id)) {
        stream->cancelled = true;
        d->reset(id, NGHTTP2_CANCEL);
    }
}

void Http2Engine::ping()
{
    nghttp2_submit_ping(d->session, NGHTTP2_FLAG_NONE, nullptr);
}

void Http2Engine::announceShutdown()
{
    if (d->shutDown) {
        return;
    }
    d->shutDown = true;
    if (d->options.server) {
        // Names no last stream: a request that is on its way would be taken, but reported to the sender as not processed.
        nghttp2_submit_shutdown_notice(d->session);
    } else {
        nghttp2_submit_goaway(d->session, NGHTTP2_FLAG_NONE, 0, NGHTTP2_NO_ERROR, nullptr, 0);
    }
}

std::size_t Http2Engine::openStreams() const
{
    return d->streams.size();
}

bool Http2Engine::finished() const
{
    return nghttp2_session_want_read(d->session) == 0 && nghttp2_session_want_write(d->session) == 0;
}

bool Http2Engine::shuttingDown() const
{
    return d->shutDown || d->peerShutDown;
}

} // namespace wisteriafork
