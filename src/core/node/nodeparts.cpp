#include "core/node/nodeparts.h"

#include <utility>

namespace wisteriafork {

namespace {

NodeOptions completeOptions(NodeOptions options)
{
    options.membership.self = options.self;
    options.ownership.self = options.self;
    options.ownership.replaces = options.replaces;
    options.crashGuard.self = options.self.name;
    options.crashGuard.incarnation = options.self.incarnation;
    return options;
}

} // namespace

NodeParts::NodeParts(NodeOptions nodeOptions, const Clock &nodeClock)
    : options(completeOptions(std::move(nodeOptions)))
    , clock(nodeClock)
    , random(options.seed)
    , membership(options.membership, clock, RandomEngine(random()))
    , admission(options.admission, clock)
    , edge(options.edge, clock)
    , router(options.router, options.self.domain, clock, random)
    , retries(options.retries, random)
    , crashGuard(options.crashGuard, clock)
{
}

LoadReport NodeParts::loadReport(const OperationId &operation)
{
    LoadReport report = admission.report();
    report.levelBelow = edge.levelBelow(operation);
    report.leaving = draining;
    return report;
}

const MemberInfo *NodeParts::listedMember(const NodeId &name) const
{
    const auto found = members.find(name);
    return found == members.end() ? nullptr : &found->second;
}

void NodeParts::recordDecision(const CallState &state, DecisionKind kind, const NodeId &node, std::string reason)
{
    actions.add(RecordDecision{
        .decision
        = {.kind = kind, .requestId = state.call.requestId, .service = state.call.service, .node = node, .reason = std::move(reason)}});
}

} // namespace wisteriafork
