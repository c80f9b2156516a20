#include "relay/suspectgateway.h"

#include "core/base/hashing.h"
#include "net/codec.h"

#include <cinttypes>
#include <cstdio>

namespace wisteriafork {

SuspectGateway::SuspectGateway(RelayParts &parts, PeerGateway &peers)
    : m_parts(parts)
    , m_peers(peers)
    , m_exchange(parts.crashGuard, {}, parts.ownPeerAddress, parts.clock, hash64(parts.settings.node, parts.settings.incarnation))
{
}

void SuspectGateway::tick()
{
    m_parts.crashGuard.tick();
    sendReports();
    askIfDue();
    logChanges();
}

bool SuspectGateway::receive(const std::string &encodedReports)
{
    const auto suspects = decodeMessage<CrashSuspects>(encodedReports);
    if (suspects) {
        m_parts.crashGuard.onReportsReceived(*suspects);
    }
    return suspects.has_value();
}

std::string SuspectGateway::answer(const std::string &encodedQuestion) const
{
    const auto question = decodeMessage<SuspectQuestion>(encodedQuestion);
    return question ? encodeMessage(m_exchange.answer(*question)) : std::string();
}

void SuspectGateway::sendReports()
{
    if (const std::optional<CrashSuspects> reports = m_parts.crashGuard.takeReports()) {
        const std::string encoded = encodeMessage(*reports);
        for (const std::string &address : m_parts.directory.peerAddresses()) {
            if (address != m_parts.ownPeerAddress) {
                m_peers.sendSuspects(address, encoded);
            }
        }
    }
}

void SuspectGateway::askIfDue()
{
    if (!m_exchange.isQuestionDue()) {
        return;
    }
    const std::optional<std::string> address = m_exchange.beginQuestion(m_parts.directory.peerAddresses());
    if (!address) {
        return;
    }
    m_parts.metrics.count(RelayCounter::SuspectQuestions);
    m_peers.askForSuspects(*address, encodeMessage(m_exchange.question()),
                           [this, address = *address, number = ++m_lastQuestion](const std::optional<std::string> &text) {
                               if (number == m_lastQuestion) {
                                   onAnswer(address, text);
                               }
                           });
}

void SuspectGateway::onAnswer(const std::string &address, const std::optional<std::string> &encodedAnswer)
{
    const auto answer = encodedAnswer ? decodeMessage<SuspectAnswer>(*encodedAnswer) : std::nullopt;
    const std::optional<SuspectExchange::Difference> difference = m_exchange.onAnswer(answer);
    if (!difference) {
        return;
    }
    m_parts.metrics.count(RelayCounter::SuspectDifferences);
    std::size_t sent = 0;
    for (const CrashSuspects &reply : difference->replies) {
        m_peers.sendSuspects(address, encodeMessage(reply));
        sent += reply.suspects.size();
    }
    m_parts.log.write(EventNumber::SuspectsExchanged, {address, std::to_string(difference->received), std::to_string(sent)});
}

void SuspectGateway::logChanges()
{
    for (const SuspectReport &report : m_parts.crashGuard.takeChanges()) {
        const EventNumber event = report.state == SuspectState::Banned ? EventNumber::RequestBlocked
            : report.state == SuspectState::Suspected                  ? EventNumber::RequestSuspected
                                                                       : EventNumber::RequestCleared;
        m_parts.log.writeDecision(event, false, [&] {
            char fingerprint[40];
            std::snprintf(fingerprint, sizeof(fingerprint), "%016" PRIx64 "%016" PRIx64, report.fingerprint.high, report.fingerprint.low);
            return std::vector<std::string>{fingerprint, m_parts.settings.service.value(), std::to_string(report.crashes.size())};
        });
    }
}

} // namespace wisteriafork
