#pragma once

#include "core/base/finding.h"
#include "core/base/memberinfo.h"
#include "core/config/configuration.h"
#include "observability/outcomesreport.h"
#include "observability/recentload.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wisteriafork {

// State of one node for the status page.
struct NodeStatus
{
    MemberInfo self;
    // Version of the program, for example "0.1.0".
    std::string programVersion;
    std::chrono::seconds uptime{0};
    bool draining = false;
    // Nothing is in flight any more and all records are handed over.
    bool drained = false;
    std::uint64_t callsInFlight = 0;
    std::uint64_t configurationVersion = 0;
    // Findings of a published configuration that is held back; empty if there is none.
    std::vector<Finding> heldBack;
    // Time since the configuration service was last read; empty if it never was.
    std::optional<std::chrono::seconds> configurationServiceAge;
    // True once this instance may own request keys.
    bool joined = false;
};

// A member as this node sees it.
struct MemberStatus
{
    MemberInfo info;
    // "live", "leaving", "suspected" or "gone".
    std::string state;
};

// What the administration API shows and changes. The daemon implements it. All functions may be called from any worker thread, take their
// own locks and return quickly.
class AdministrationSource
{
public:
    virtual ~AdministrationSource() = default;

    virtual NodeStatus status() const = 0;
    virtual OutcomesReport outcomes() const = 0;
    virtual std::vector<MemberStatus> members() const = 0;
    // Configuration in force; empty before the first one.
    virtual std::optional<Configuration> configuration() const = 0;
    virtual std::vector<OperationLoad> recentLoad() const = 0;
    // All metrics in the text exposition format.
    virtual std::string metricsText() const = 0;

    // Start a graceful stop and take it back. Both return at once; the status tells how far it is. Taking back has no effect once drained.
    virtual void drain() = 0;
    virtual void undrain() = 0;
};

} // namespace wisteriafork
