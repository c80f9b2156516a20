#include "lab/faults/soakclient.h"

#include "core/base/hashing.h"

#include <sstream>
#include <utility>

#include <nlohmann/json.hpp>

namespace wisteriafork::lab {

namespace {

constexpr std::chrono::milliseconds ConnectTimeout{1000};
// Time after its deadline for which a client waits for the final response.
constexpr std::chrono::milliseconds ResponseSlack{1500};
constexpr std::size_t MaxBodyBytes = 4000;
// Share of the requests that may run once only.
constexpr double BookingShare = 0.7;
// Unexpected bytes that a finding quotes.
constexpr std::size_t MaxQuotedBytes = 200;
constexpr std::uint64_t MaxResponseBytes = std::uint64_t{16} * 1024 * 1024;

} // namespace

SoakClient::SoakClient(asio::io_context &context, SoakClientOptions options)
    : m_context(context), m_options(std::move(options)), m_random(m_options.seed)
{
}

asio::awaitable<void> SoakClient::run()
{
    while (std::chrono::steady_clock::now() < m_options.endTime) {
        co_await sleepFor(drawTime(std::chrono::milliseconds(0), m_options.maxThinkTime));
        checkKeptConnection();
        if (!co_await connect()) {
            continue;
        }
        SoakRequest record;
        co_await exchange(record);
        m_requests.push_back(std::move(record));
    }
}

asio::awaitable<bool> SoakClient::connect()
{
    if (m_stream) {
        co_return true;
    }
    const std::uint16_t port = m_options.ports[drawNumber(0, m_options.ports.size() - 1)];
    m_buffer.clear();
    m_stream = std::make_unique<beast::tcp_stream>(m_context);
    m_stream->expires_after(ConnectTimeout);
    boost::system::error_code error;
    const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(), port);
    co_await m_stream->async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        m_stream.reset();
    }
    co_return !error;
}

void SoakClient::checkKeptConnection()
{
    if (!m_stream) {
        return;
    }
    boost::system::error_code error;
    m_stream->socket().non_blocking(true, error);
    char byte = 0;
    m_stream->socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    if (!error && !m_requests.empty()) {
        m_requests.back().fault = "bytes arrived on the connection while no request was waiting";
    }
    if (error != asio::error::would_block) {
        m_stream.reset();
    }
}

HttpRequest SoakClient::drawRequest(SoakRequest &record)
{
    const bool booking = draw(BookingShare);
    record.id = m_options.name + "-" + std::to_string(m_requests.size());
    record.method = booking ? "POST" : "GET";
    record.target = "/" + m_options.services[drawNumber(0, m_options.services.size() - 1)] + (booking ? "/book/" : "/view/") + record.id;
    HttpRequest request(booking ? http::verb::post : http::verb::get, record.target, 11);
    m_deadline = drawTime(m_options.minDeadline, m_options.maxDeadline);
    request.set(http::field::host, "localhost");
    request.set("X-Lab-Request", record.id);
    request.set("Wf-Request-Id", record.id);
    request.set("Wf-Deadline-Ms", std::to_string(m_deadline.count()));
    if (booking) {
        request.body() = std::string(drawNumber(0, MaxBodyBytes), 'b');
    }
    record.bodyHash = hash64(request.body());
    request.prepare_payload();
    if (!request.body().empty() && draw(0.5)) {
        request.chunked(true);
    }
    return request;
}

asio::awaitable<void> SoakClient::exchange(SoakRequest &record)
{
    const HttpRequest request = drawRequest(record);
    if (draw(m_options.partialShare)) {
        record.abandoned = true;
        co_await sendPart(request);
        co_return;
    }
    m_stream->expires_after(m_deadline);
    boost::system::error_code error;
    co_await http::async_write(*m_stream, request, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        m_stream.reset();
        record.connectionEnded = true;
        co_return;
    }
    record.sentWhole = true;
    record.abandoned = draw(m_options.abandonShare);
    co_await receive(record, record.abandoned ? drawTime(std::chrono::milliseconds(1), m_options.maxPatience) : m_deadline + ResponseSlack);
}

asio::awaitable<void> SoakClient::sendPart(const HttpRequest &request)
{
    std::ostringstream text;
    text << request;
    const std::string whole = text.str();
    boost::system::error_code error;
    co_await asio::async_write(m_stream->socket(), asio::buffer(whole.data(), drawNumber(0, whole.size() - 1)),
                               asio::redirect_error(asio::use_awaitable, error));
    co_await sleepFor(drawTime(std::chrono::milliseconds(0), m_options.maxPatience));
    if (draw(0.5)) {
        m_stream->socket().set_option(asio::socket_base::linger(true, 0), error);
    }
    m_stream.reset();
}

asio::awaitable<void> SoakClient::receive(SoakRequest &record, std::chrono::milliseconds patience)
{
    http::response_parser<http::string_body> parser;
    parser.body_limit(MaxResponseBytes);
    m_stream->expires_after(patience);
    boost::system::error_code error;
    const auto sentAt = std::chrono::steady_clock::now();
    co_await http::async_read(*m_stream, m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    record.waited = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - sentAt);
    if (error) {
        record.timedOut = error == beast::error::timeout;
        record.connectionEnded = !record.timedOut;
        record.endedInOrder = error == http::error::end_of_stream || error == http::error::partial_message;
        m_stream.reset();
        co_return;
    }
    const HttpResponse &response = parser.get();
    record.status = response.result_int();
    record.fault = findResponseFault(record, response);
    if (!response.keep_alive() || response.need_eof()) {
        m_stream.reset();
    } else {
        m_stream->expires_never();
        if (m_buffer.size() > 0) {
            record.fault = "bytes behind the response: " + beast::buffers_to_string(m_buffer.data()).substr(0, MaxQuotedBytes);
        }
    }
}

asio::awaitable<void> SoakClient::sleepFor(std::chrono::milliseconds time)
{
    asio::steady_timer timer(m_context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

bool SoakClient::draw(double share)
{
    return std::bernoulli_distribution(share)(m_random);
}

std::chrono::milliseconds SoakClient::drawTime(std::chrono::milliseconds least, std::chrono::milliseconds most)
{
    return std::chrono::milliseconds(drawNumber(static_cast<std::size_t>(least.count()), static_cast<std::size_t>(most.count())));
}

std::size_t SoakClient::drawNumber(std::size_t least, std::size_t most)
{
    return std::uniform_int_distribution<std::size_t>(least, most)(m_random);
}

std::string findResponseFault(const SoakRequest &request, const HttpResponse &response)
{
    const beast::string_view id = response["Wf-Request-Id"];
    if (!id.empty() && id != request.id) {
        return "the response is to the request " + std::string(id);
    }
    if (response.result_int() / 100 != 2) {
        return {};
    }
    const nlohmann::json body = nlohmann::json::parse(response.body(), nullptr, false);
    if (!body.is_object()) {
        return "the body of the response is not whole: " + std::to_string(response.body().size()) + " bytes";
    }
    const std::string answered = body.value("request", std::string());
    return answered == request.id && body.value("target", std::string()) == request.target ? std::string()
                                                                                           : "the response is to the request " + answered;
}

} // namespace wisteriafork::lab
