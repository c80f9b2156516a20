#include "relay/peergateway.h"

#include "net/codec.h"
#include "relay/relayheaders.h"

namespace wisteriafork {

namespace {

// A session with open streams that receives nothing for this time is pinged, and closed if it receives nothing for the same time again. An
// unreachable node is thus detected within one to two times the shortest target latency of inner calls (300 ms).
constexpr std::chrono::milliseconds PingInterval{300};
// Two round trips between the most distant failure domains, including the retransmission of a lost packet.
constexpr std::chrono::milliseconds ConnectTimeout{400};
constexpr std::chrono::milliseconds ReconnectBackoff{100};
// A body of the largest size that callers may send (64 MiB) fits into one stream.
constexpr std::size_t MaxBodyBytes = std::size_t{64} * 1024 * 1024;

} // namespace

PeerOptions relayPeerOptions(const RelaySettings &settings)
{
    PeerOptions options;
    options.limits.requestBodyBytes = MaxBodyBytes;
    options.limits.responseBodyBytes = MaxBodyBytes;
    options.connectTimeout = ConnectTimeout;
    options.reconnectBackoff = ReconnectBackoff;
    options.pingInterval = PingInterval;
    options.unindexedFields = {CallField, ReportField, LoadField};
    options.tls = settings.tls;
    return options;
}

PeerGateway::PeerGateway(RelayParts &parts, PeerSender &peers) : m_parts(parts), m_peers(peers)
{
}

std::shared_ptr<ClientExchange> PeerGateway::send(const std::string &address, const RelayRequest &request, AttemptHandler handler)
{
    auto responseHandler = [this, address, handler = std::move(handler)](tl::expected<HttpResponse, ExchangeError> result) {
        AttemptOutcome outcome{.result = OutcomeUnknown{.nodeConnectionLost = true}};
        if (result) {
            m_parts.noteRevisions(std::string(result->headers.find(RevisionsField)), address);
            result->headers.remove(RevisionsField);
            if (std::optional<AttemptOutcome> decoded = decodeOutcome(std::move(*result), m_parts.settings.headers)) {
                outcome = std::move(*decoded);
            }
        } else if (result.error() == ExchangeError::NotProcessed) {
            outcome.result = NotExecuted{.reason = NotExecutedReason::Unreachable, .evidence = NotExecutedEvidence::NodeNotConnected};
        } else if (result.error() == ExchangeError::Refused) {
            outcome.result = NotExecuted{.reason = NotExecutedReason::Unreachable, .evidence = NotExecutedEvidence::StreamRefused};
        }
        asio::post(m_parts.context, [handler, outcome = std::move(outcome)]() mutable { handler(std::move(outcome)); });
    };
    HttpHeaders fields = encodeRelayRequest(request, m_parts.settings.headers, m_parts.clock.now());
    // An empty value removes a field of the caller with this name.
    fields.add(RevisionsField, m_parts.publishedRevisions);
    return m_peers.send(address, request.http, std::move(fields), std::move(responseHandler));
}

void PeerGateway::fetchSnapshot(const std::string &address, std::function<void(std::optional<std::string>)> handler)
{
    HttpHeaders fields;
    fields.add(":path", SnapshotPath);
    m_peers.send(address, std::make_shared<HttpRequest>(), std::move(fields),
                 [handler = std::move(handler)](tl::expected<HttpResponse, ExchangeError> result) {
                     const bool hasSnapshot = result && result->status == 200 && !result->body.empty();
                     handler(hasSnapshot ? std::optional(std::move(result->body)) : std::nullopt);
                 });
}

void PeerGateway::requestChanges(const std::string &address, ChangesText request, std::function<void(std::optional<ChangesText>)> handler)
{
    HttpHeaders fields;
    fields.add(":path", ChangesPath);
    auto http = std::make_shared<HttpRequest>();
    http->body = std::move(request.body);
    if (!request.details.empty()) {
        http->headers.add(DetailsField, std::move(request.details));
    }
    m_peers.send(address, std::move(http), std::move(fields),
                 [handler = std::move(handler)](tl::expected<HttpResponse, ExchangeError> result) {
                     if (result && result->status == 200) {
                         handler(ChangesText{.body = std::move(result->body), .details = std::string(result->headers.find(DetailsField))});
                     } else {
                         handler(std::nullopt);
                     }
                 });
}

void PeerGateway::askForQuota(const std::string &address, std::string request, std::function<void(std::optional<std::string>)> handler)
{
    ask(address, QuotaPath, std::move(request), std::move(handler));
}

void PeerGateway::askForSuspects(const std::string &address, std::string question, std::function<void(std::optional<std::string>)> handler)
{
    ask(address, SuspectQuestionPath, std::move(question), std::move(handler));
}

void PeerGateway::withdrawRequests(const std::string &address, const Withdrawal &withdrawal)
{
    notify(address, WithdrawPath, encodeMessage(withdrawal));
}

void PeerGateway::sendSuspects(const std::string &address, const std::string &encodedSuspects)
{
    notify(address, SuspectsPath, encodedSuspects);
}

void PeerGateway::ask(const std::string &address, const char *path, std::string body,
                      std::function<void(std::optional<std::string>)> handler)
{
    HttpHeaders fields;
    fields.add(":path", path);
    auto http = std::make_shared<HttpRequest>();
    http->body = std::move(body);
    m_peers.send(address, std::move(http), std::move(fields),
                 [handler = std::move(handler)](tl::expected<HttpResponse, ExchangeError> result) {
                     handler(result && result->status == 200 ? std::optional(std::move(result->body)) : std::nullopt);
                 });
}

void PeerGateway::notify(const std::string &address, const char *path, std::string body)
{
    HttpHeaders fields;
    fields.add(":path", path);
    auto request = std::make_shared<HttpRequest>();
    request->body = std::move(body);
    m_peers.send(address, std::move(request), std::move(fields), [](const tl::expected<HttpResponse, ExchangeError> &) {});
}

} // namespace wisteriafork
