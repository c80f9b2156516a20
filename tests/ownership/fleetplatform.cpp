#include "fleet.h"

#include "timing.h"

#include <algorithm>

namespace wisteriafork::test {

Incarnation Fleet::nextIncarnation()
{
    return ++m_incarnation;
}

const HostList &Fleet::publishedList() const
{
    return m_published;
}

void Fleet::publish()
{
    HostList &list = m_published;
    list.members.clear();
    list.service = ServiceId("verksted");
    list.version = ++m_listVersion;
    for (std::size_t index = 0; index < m_listed.size(); ++index) {
        if (m_listed[index] && m_droppedUntil[index] <= m_now) {
            list.members.push_back(*m_listed[index]);
        }
    }
    for (int index = 0; index < size(); ++index) {
        deliverList(index, list);
    }
}

void Fleet::deliverList(int index, const HostList &list)
{
    const TimePoint frozen = m_frozenUntil[static_cast<std::size_t>(index)];
    const Duration delay = std::max(frozen - m_now, Duration{0}) + upTo(400);
    after(delay, [this, index, list] { node(index).readList(list); });
}

void Fleet::processStarted(int index, Incarnation incarnation)
{
    after(upTo(300), [this, index, incarnation] {
        if (node(index).up() && node(index).info().incarnation == incarnation) {
            m_listed[static_cast<std::size_t>(index)] = node(index).info();
            publish();
        }
    });
}

void Fleet::processEnded(int index)
{
    after(upTo(500), [this, index] {
        if (!node(index).up()) {
            m_listed[static_cast<std::size_t>(index)].reset();
            publish();
        }
    });
}

void Fleet::processLeaving(int index)
{
    std::optional<MemberInfo> &listed = m_listed[static_cast<std::size_t>(index)];
    if (listed) {
        listed->state = ListedState::Leaving;
        publish();
    }
}

void Fleet::restart(int index)
{
    const Incarnation incarnation = nextIncarnation();
    node(index).start(incarnation);
    processStarted(index, incarnation);
}

} // namespace wisteriafork::test
