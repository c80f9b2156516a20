#pragma once

#include "core/node/action.h"
#include "daemon/callstatistics.h"
#include "daemon/calltable.h"
#include "daemon/storedanswers.h"

namespace wisteriafork {

// Answers calls: relayed and stored answers and refusals. Used only while
// actions are carried out, which never happens on two threads at once.
class Answerer
{
public:
    Answerer(CallTable &calls, CallStatistics &statistics, const Clock &clock) : m_calls(calls), m_statistics(statistics), m_clock(clock)
    {
    }

    void refuse(const RespondRefused &action);
    void relay(const RelayAnswer &action);
    void store(const StoreAnswer &action);
    void respondStored(const RespondStored &action);
    void drop(const DropStoredAnswer &action);

private:
    void respond(CallId id, HttpResponse response, const LoadReport &load);

    // Counts the answer to a caller, once for each call.
    void count(CallId id, bool replayed);

    CallTable &m_calls;
    CallStatistics &m_statistics;
    const Clock &m_clock;
    StoredAnswers m_stored;
    // Load report of the last answer to a peer, for answers that come without one.
    LoadReport m_lastLoad;
};

} // namespace wisteriafork
