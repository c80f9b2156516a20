#include "core/node/nodecore.h"

#include "core/node/callflow.h"
#include "core/node/controlplane.h"
#include "core/node/nodeparts.h"

#include <concepts>
#include <utility>

namespace wisteriafork {

namespace {

// Events that the path of calls handles, and those that the control plane handles; the rest concern both.
template <typename T, typename Handler>
concept HandledBy = requires(Handler &handler, const T &event)
{
    handler.on(event);
};

} // namespace

class NodeCore::Private
{
public:
    Private(NodeOptions options, const Clock &clock) : parts(std::move(options), clock), calls(parts), control(parts, calls.keyedCalls())
    {
        if (parts.options.initialConfiguration) {
            control.apply(*parts.options.initialConfiguration);
        }
    }

    template <typename T>
    requires HandledBy<T, CallFlow>
    void on(const T &event)
    {
        calls.on(event);
    }

    template <typename T>
    requires HandledBy<T, ControlPlane>
    void on(const T &event)
    {
        control.on(event);
    }

    void on(const ServerLoadRead &event)
    {
        parts.admission.serverLoadRead(event.running, event.slots);
    }

    void on(const Tick &)
    {
        control.tick();
        calls.tick();
    }

    void on(const DrainRequested &)
    {
        parts.draining = true;
        drainReported = false;
        control.drain();
        calls.keyedCalls().stop();
    }

    void on(const UndrainRequested &)
    {
        parts.draining = false;
        control.undrain();
    }

    void reportDrain()
    {
        const bool idle = parts.calls.size() == 0 || !parts.options.mechanisms.drainWaitsForCalls;
        if (parts.draining && !drainReported && idle && calls.keyedCalls().isReleased()) {
            drainReported = true;
            parts.actions.add(DrainComplete{});
        }
    }

    NodeParts parts;
    CallFlow calls;
    ControlPlane control;
    bool drainReported = false;
};

NodeCore::NodeCore(NodeOptions options, const Clock &clock) : d(std::make_unique<Private>(std::move(options), clock))
{
}

NodeCore::~NodeCore() = default;

std::vector<Action> NodeCore::handle(const Event &event)
{
    std::visit([this](const auto &concrete) { d->on(concrete); }, event);
    d->reportDrain();
    return d->parts.actions.take();
}

const Configuration *NodeCore::configuration() const
{
    return d->parts.configuration.current();
}

DistributionStatus NodeCore::distributionStatus() const
{
    return d->control.status();
}

const Membership &NodeCore::membership() const
{
    return d->parts.membership;
}

const MemberInfo &NodeCore::self() const
{
    return d->parts.options.self;
}

bool NodeCore::isDraining() const
{
    return d->parts.draining;
}

LoadReport NodeCore::loadReport()
{
    return d->parts.loadReport({});
}

std::vector<std::pair<MemberInfo, MemberState>> NodeCore::members() const
{
    std::vector<std::pair<MemberInfo, MemberState>> members;
    for (const auto &[service, list] : d->parts.hostLists) {
        for (const MemberInfo &member : list.members) {
            members.emplace_back(member, d->parts.membership.state(member.name).value_or(MemberState::Live));
        }
    }
    return members;
}

const Ownership *NodeCore::ownership() const
{
    return d->calls.keyedCalls().ownership();
}

} // namespace wisteriafork
