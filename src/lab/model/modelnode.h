#pragma once

#include "core/base/random.h"
#include "core/overload/admissioncontroller.h"
#include "core/overload/edgegate.h"
#include "core/routing/callattribution.h"
#include "core/routing/retrypolicy.h"
#include "core/routing/router.h"
#include "lab/model/modelcall.h"
#include "lab/model/modeloptions.h"
#include "lab/model/modelserver.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace wisteriafork::lab {

class Model;

// A node and its backend server in the model: the decisions are those of the real components.
class ModelNode
{
public:
    // `service` is the number of the instance's service.
    ModelNode(Model &model, std::size_t service, const MemberInfo &self);
    ~ModelNode();
    ModelNode(const ModelNode &) = delete;
    ModelNode &operator=(const ModelNode &) = delete;

    void configure(const std::vector<ServiceConfiguration> &services, const std::vector<std::vector<RouteCandidate>> &candidates);

    // A call of a caller or of the local backend server. Exactly one reply is given unless the call is cancelled.
    void enter(const std::shared_ptr<OutgoingCall> &call);
    // Whoever sent the call is gone.
    void cancelOutgoing(const std::shared_ptr<OutgoingCall> &call);

    // A call forwarded by another node.
    void serve(const std::shared_ptr<ServedCall> &call);
    void cancelServed(CallId id);

    void tick();
    void serverRestarted();

    ModelServer &server()
    {
        return m_server;
    }

    const MemberInfo &self() const
    {
        return m_self;
    }

    std::size_t queuedCount() const
    {
        return m_admission.queuedCount();
    }

private:
    using Outgoing = std::shared_ptr<OutgoingCall>;
    using Served = std::shared_ptr<ServedCall>;

    ServerHooks hooks();
    std::shared_ptr<OutgoingCall> callBelow(const ServedCall &parent, const CallTree &place, std::function<void(const Reply &)> reply);
    void forward(const Outgoing &call);
    void sendAttempt(const Outgoing &call, std::size_t target);
    void attemptEnded(const Outgoing &call, CallId attempt, const Reply &reply);
    bool retry(const Outgoing &call, const Reply &reply);
    void conclude(const Outgoing &call, const Reply &reply);
    void refuse(const Outgoing &call, const Refusal &refusal);

    void run(const Served &call);
    void poll();
    void serverEnded(const Served &call, ReplyKind kind);
    void answer(const Served &call, ReplyKind kind, const Refusal &refusal);
    void noteServed(const Served &call);
    LoadReport load(const OperationId &operation);

    Model &m_model;
    std::size_t m_service;
    MemberInfo m_self;
    AdmissionController m_admission;
    EdgeGate m_gate;
    Router m_router;
    RetryPolicy m_retry;
    CallAttribution m_attribution;
    ModelServer m_server;
    std::unordered_map<CallId, Served> m_served;
};

} // namespace wisteriafork::lab
