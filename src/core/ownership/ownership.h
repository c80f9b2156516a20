#pragma once

#include "core/base/clock.h"
#include "core/ownership/ownershipinput.h"
#include "core/ownership/ownershipoptions.h"
#include "core/ownership/ownershipoutput.h"

#include <cstddef>
#include <memory>

namespace wisteriafork {

// Decides for the non-idempotent requests of the local service, so that each runs at most once in the fleet. One object per incarnation of
// a node; feed it every input in order and carry out the outputs in order. It takes the time only from the clock, does no I/O and is not
// thread safe. The protocol is described in docs/at-most-once.md.
class Ownership
{
public:
    Ownership(OwnershipOptions options, const Clock &clock);
    ~Ownership();
    Ownership(const Ownership &) = delete;
    Ownership &operator=(const Ownership &) = delete;

    OwnershipOutputs handle(const OwnershipInput &input);

    OwnerStage stage() const;
    // True if this incarnation was fenced.
    bool excluded() const;
    std::size_t recordCount() const;
    std::size_t witnessRecordCount() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace wisteriafork
