#pragma once

#include "core/base/hostlist.h"
#include "core/node/action.h"
#include "daemon/calltable.h"
#include "daemon/corerunner.h"
#include "net/peerpool.h"

#include <map>
#include <string>

namespace wisteriafork {

// Sends calls and control messages to other nodes.
class Forwarder
{
public:
    Forwarder(asio::io_context &context, const PeerOptions &options, NodeId self, CallTable &calls, CoreRunner &core, const Clock &clock);

    void forward(const ForwardCall &action);
    void cancel(const CancelForward &action);
    void send(const SendPeerMessage &action);
    // Remembers the addresses of a host list, for calls that the core forwards without an address.
    void noteAddresses(const HostList &list);
    void stop();

private:
    void finished(CallId id, unsigned attempt, const NodeId &peer, tl::expected<HttpResponse, ExchangeError> result);

    std::map<NodeId, std::string> m_addresses;
    PeerPool m_pool;
    const NodeId m_self;
    CallTable &m_calls;
    CoreRunner &m_core;
    const Clock &m_clock;
};

} // namespace wisteriafork
