#pragma once

#include "core/base/clock.h"
#include "daemon/calltable.h"
#include "daemon/corerunner.h"
#include "net/serverexchange.h"

namespace wisteriafork {

// Takes the streams of other nodes: calls into the call table and to the core, control messages to the core.
class PeerReceiver : public ServerHandler
{
public:
    PeerReceiver(CallTable &calls, CoreRunner &core, const Clock &clock);

    void handleRequest(std::shared_ptr<ServerExchange> exchange) override;
    void handleGone(ServerExchange &exchange) override;

private:
    void receiveCall(const std::shared_ptr<ServerExchange> &exchange);
    void receiveMessage(ServerExchange &exchange);

    CallTable &m_calls;
    CoreRunner &m_core;
    const Clock &m_clock;
};

} // namespace wisteriafork
