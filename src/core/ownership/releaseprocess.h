#pragma once

#include "core/base/clock.h"
#include "core/ownership/outgoing.h"
#include "core/ownership/ownershipoptions.h"
#include "core/ownership/ownerview.h"
#include "core/ownership/resendtimer.h"

#include <cstdint>
#include <set>
#include <vector>

namespace wisteriafork {

// Hands the records of a stopping member to all other members of the service.
class ReleaseProcess
{
public:
    explicit ReleaseProcess(const OwnershipOptions &options);

    // Sends these records from now on, in place of those given before.
    void start(std::vector<HandedRecord> records);
    bool started() const;
    void send(const OwnerView &view, TimePoint now, OutgoingMessages &messages);
    void acknowledged(const MemberId &member, std::uint64_t sequence);
    // True if the member knows of the release.
    bool knows(const MemberId &member) const;
    // True if all members that the host list does not call gone have the records given last.
    bool complete(const OwnerView &view) const;

private:
    const OwnershipOptions &m_options;
    std::uint64_t m_sequence = 0;
    std::vector<HandedRecord> m_records;
    std::set<MemberId> m_informed;
    std::set<MemberId> m_acknowledged;
    ResendTimer m_timer;
};

} // namespace wisteriafork
