#pragma once

#include "lab/http.h"

#include <cstdint>
#include <fstream>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriafork::lab {

// One execution of a request on a stand-in server, as the journal keeps it.
struct JournalRun
{
    std::string requestId;
    std::string method;
    std::string target;
    std::uint64_t bodyHash = 0;
};

// The response to a call that a stand-in server made; `status` is 0 if there was none.
struct JournalCall
{
    std::string requestId;
    unsigned status = 0;
};

struct JournalContent
{
    std::vector<JournalRun> runs;
    std::vector<JournalCall> calls;
};

// File to which a stand-in server writes each execution when it begins and each response to a call of its own. A line is complete on disk
// before the server goes on, so the journal of a killed server is complete.
class RequestJournal
{
public:
    // Writes nothing if `file` is empty.
    explicit RequestJournal(const std::string &file);

    void recordRun(std::string_view requestId, const HttpRequest &request);
    void recordCall(std::string_view requestId, unsigned status);

private:
    std::ofstream m_file;
};

// Reads a journal. A missing file has no content, because the server may not have run any request.
JournalContent readJournal(const std::string &file);

} // namespace wisteriafork::lab
