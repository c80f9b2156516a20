#pragma once

#include "core/node/action.h"
#include "daemon/calltable.h"
#include "daemon/storedanswers.h"

namespace wisteriafork {

// Answers calls: relayed and stored answers and refusals. Used only while
// actions are carried out, which never happens on two threads at once.
class Answerer
{
public:
    explicit Answerer(CallTable &calls) : m_calls(calls)
    {
    }

    void refuse(const RespondRefused &action);
    void relay(const RelayAnswer &action);
    void store(const StoreAnswer &action);
    void respondStored(const RespondStored &action);
    void drop(const DropStoredAnswer &action);

private:
    void respond(CallId id, HttpResponse response, const LoadReport &load);

    CallTable &m_calls;
    StoredAnswers m_stored;
    // Load report of the last answer to a peer, for answers that come without one.
    LoadReport m_lastLoad;
};

} // namespace wisteriafork
