#include "daemon/noticewriter.h"

#include "core/config/findings.h"

#include <chrono>
#include <string>

namespace wisteriafork {

namespace {

// Findings that go into one log line; the status page has all of them.
constexpr std::size_t MaxFindings = 5;

EventNumber memberEvent(MemberState state)
{
    switch (state) {
    case MemberState::Live:
        return EventNumber::MemberLive;
    case MemberState::Leaving:
        return EventNumber::MemberLeaving;
    case MemberState::Suspected:
        return EventNumber::MemberSuspected;
    case MemberState::Gone:
        break;
    }
    return EventNumber::MemberGone;
}

// Writes one alternative of a notice.
class NoticeVisitor
{
public:
    explicit NoticeVisitor(EventLog &log) : m_log(log)
    {
    }

    void operator()(const ConfigurationNotice &notice) const
    {
        m_log.write(EventNumber::ConfigurationInForce, {std::to_string(notice.version), notice.from});
    }

    void operator()(const HeldBackNotice &notice) const
    {
        std::string findings;
        for (std::size_t i = 0; i < notice.findings.size() && i < MaxFindings; ++i) {
            findings += (i == 0 ? "" : "; ") + describeFinding(notice.findings[i]);
        }
        m_log.write(EventNumber::ConfigurationHeldBack, {std::to_string(notice.version), std::to_string(notice.inForce), findings});
    }

    void operator()(const PauseNotice &notice) const
    {
        const auto length = std::chrono::duration_cast<std::chrono::milliseconds>(notice.length);
        m_log.write(EventNumber::PauseNoticed, {std::to_string(length.count())});
    }

    void operator()(const MemberStateNotice &notice) const
    {
        m_log.write(memberEvent(notice.state), {notice.member.value(), std::to_string(notice.incarnation), notice.domain.value(), ""});
    }

    void operator()(const DomainNotice &notice) const
    {
        m_log.write(notice.silent ? EventNumber::PartitionSuspected : EventNumber::PartitionEnded, {notice.domain.value(), ""});
    }

private:
    EventLog &m_log;
};

} // namespace

void writeNotice(EventLog &log, const Notice &notice)
{
    std::visit(NoticeVisitor(log), notice);
}

} // namespace wisteriafork
