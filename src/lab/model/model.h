#pragma once

#include "core/base/random.h"
#include "core/config/configuration.h"
#include "lab/model/callerload.h"
#include "lab/model/eventqueue.h"
#include "lab/model/graphspec.h"
#include "lab/model/modelcall.h"
#include "lab/model/modelmetrics.h"
#include "lab/model/modelnode.h"
#include "lab/model/modeloptions.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace wisteriafork::lab {

// Virtual-time model of a service call graph with its nodes, backend servers, links and old callers. One run is determined by its seed.
class Model
{
public:
    Model(GraphSpec graph, ModelOptions options, CallerLoad load, std::uint64_t seed);
    ~Model();
    Model(const Model &) = delete;
    Model &operator=(const Model &) = delete;

    // Does something at a time after the start, for example slows a service.
    void at(Duration time, std::function<void(Model &)> change);
    // Runs up to the time after the start.
    const ModelMetrics &run(Duration end);

    void slowDown(std::size_t service, double factor);
    void setLoadEndpoints(LoadEndpoint mode);

    // Used by the nodes.
    const GraphSpec &graph() const;
    const ModelOptions &options() const;
    const Clock &clock() const;
    TimePoint now() const;
    EventQueue &events();
    RandomEngine &random();
    ModelNode &node(std::size_t index);
    std::size_t nodeCount() const;
    std::size_t nodeIndex(const NodeId &name) const;
    const ServiceId &serviceId(std::size_t service) const;
    const OperationId &operationId(const CallTree &place) const;
    CallId nextCallId();
    // Runs the handler when a message from one failure domain has reached the other.
    void deliver(const DomainId &from, const DomainId &to, std::function<void()> handler);
    ModelInterval &current();
    void noteWork(RequestSend &send, Duration work);
    void noteRun(RequestSend &send, const CallTree &place);
    void noteReadAdmitted(std::size_t service);
    void noteRefused(const CallDescription &call);

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace wisteriafork::lab
