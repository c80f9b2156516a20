#pragma once

#include "lab/faults/soakmode.h"
#include "lab/faults/soakrequest.h"
#include "lab/requestjournal.h"

#include <span>
#include <string>
#include <vector>

namespace wisteriafork::lab {

// A violation of a promise, with the request that shows it.
struct SoakFinding
{
    // REFUSED: refused with a status that promises that the request does not run, and ran. TWICE: a request that may run once only ran
    // again. MIXED: a response that is not that of the request, or not whole. LOST: a request that ran, or that a node had read,
    // got no response although only planned stops happened. UNASKED: a run that no client asked for, or with another method, target or
    // body. SILENT: no response at all.
    std::string rule;
    std::string requestId;
    std::string text;
};

// What the journal of one server contains.
struct ServerJournal
{
    std::string server;
    JournalContent content;
};

// Compares what clients and servers got for each request with what servers ran.
std::vector<SoakFinding> judgeSoak(std::span<const SoakRequest> requests, std::span<const ServerJournal> journals, SoakMode mode);

} // namespace wisteriafork::lab
