#pragma once

#include "core/base/clock.h"
#include "core/distribution/distributionoptions.h"
#include "core/membership/introduction.h"

#include <cstddef>
#include <span>
#include <vector>

namespace wisteriafork {

// Makes sure that a starting node asks its peers for their versions before it counts as ready, so that an old copy at the configuration
// service cannot bring an old version back.
class StartGate
{
public:
    // The options must outlive the gate.
    explicit StartGate(const DistributionOptions &options);

    // False once as many peers as it may are asked; `takeDue()` ignores further ones then.
    bool takesMore() const;
    // Peers to ask now. Peers that appear later are asked too.
    std::vector<Introduction> takeDue(std::span<const Introduction> peers, TimePoint now);
    void noteAnswer(const NodeId &peer);
    void noteUnreachable(const NodeId &peer);
    // Every peer has answered, or did not answer any of its attempts.
    bool isDone() const;
    bool hasAnswer() const;

private:
    struct Asked
    {
        Introduction peer;
        unsigned attempts = 0;
        unsigned refused = 0;
        bool answered = false;
        TimePoint due;
    };

    bool isSettled(const Asked &asked) const;
    Asked *find(const NodeId &peer);

    const DistributionOptions &m_options;
    std::vector<Asked> m_asked;
    bool m_answered = false;
};

} // namespace wisteriafork
