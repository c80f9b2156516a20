#pragma once

#include "core/node/action.h"
#include "daemon/calltable.h"
#include "daemon/corerunner.h"
#include "net/peerpool.h"

namespace wisteriafork {

// Sends calls and control messages to other nodes.
class Forwarder
{
public:
    Forwarder(asio::io_context &context, const PeerOptions &options, NodeId self, CallTable &calls, CoreRunner &core, const Clock &clock);

    void forward(const ForwardCall &action);
    void cancel(const CancelForward &action);
    void send(const SendPeerMessage &action);
    void stop();

private:
    void finished(CallId id, unsigned attempt, const NodeId &peer, tl::expected<HttpResponse, ExchangeError> result);

    PeerPool m_pool;
    const NodeId m_self;
    CallTable &m_calls;
    CoreRunner &m_core;
    const Clock &m_clock;
};

} // namespace wisteriafork
