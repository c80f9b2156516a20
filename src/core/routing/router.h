#pragma once

#include "core/base/clock.h"
#include "core/base/ids.h"
#include "core/base/loadreport.h"
#include "core/base/random.h"
#include "core/routing/routecandidate.h"
#include "core/routing/routechoice.h"
#include "core/routing/routeroptions.h"

#include <memory>
#include <optional>
#include <span>

namespace wisteriafork {

// Picks the instance for a call: power of two choices over what this node knows, own failure domain first.
//
// `update()` is called when the members of a service change and costs time in proportion to them; `choose()` does not. Each choice that is
// used is reported with `sent()`, and ended with `answered()` or `failed()`. Not thread safe.
class Router
{
public:
    Router(RouterOptions options, DomainId ownDomain, const Clock &clock, RandomEngine &random);
    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    // Replaces the instances of a service. Suspected and leaving ones are never chosen. Knowledge of instances that stay is kept.
    void update(const ServiceId &service, std::span<const RouteCandidate> candidates);

    // Instance for a call, none if all are excluded. `avoidDomain` is the failure domain of a failed attempt: others are preferred.
    std::optional<RouteChoice> choose(const ServiceId &service, std::span<const NodeId> excluded = {},
                                      const DomainId *avoidDomain = nullptr);

    void sent(const ServiceId &service, const NodeId &node);
    // An answer or a refusal arrived after `elapsed`, with its load report.
    void answered(const ServiceId &service, const NodeId &node, const LoadReport &report, Duration elapsed);
    // No answer; the instance is avoided until its next report or until the knowledge is old.
    void failed(const ServiceId &service, const NodeId &node);

    // A load report that arrived by another way than an answer.
    void learn(const ServiceId &service, const NodeId &node, const LoadReport &report);

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace wisteriafork
