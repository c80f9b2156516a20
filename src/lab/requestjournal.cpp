#include "lab/requestjournal.h"

#include "core/base/hashing.h"

namespace wisteriafork::lab {

RequestJournal::RequestJournal(const std::string &file)
{
    if (!file.empty()) {
        m_file.open(file, std::ios::app);
    }
}

void RequestJournal::recordRun(std::string_view requestId, const HttpRequest &request)
{
    if (m_file.is_open()) {
        m_file << "run " << requestId << ' ' << request.method_string() << ' ' << request.target() << ' ' << hash64(request.body())
               << std::endl;
    }
}

void RequestJournal::recordCall(std::string_view requestId, unsigned status)
{
    if (m_file.is_open()) {
        m_file << "call " << requestId << ' ' << status << std::endl;
    }
}

JournalContent readJournal(const std::string &file)
{
    JournalContent content;
    std::ifstream input(file);
    std::string kind;
    while (input >> kind) {
        if (kind == "run") {
            JournalRun run;
            input >> run.requestId >> run.method >> run.target >> run.bodyHash;
            content.runs.push_back(std::move(run));
        } else {
            JournalCall call;
            input >> call.requestId >> call.status;
            content.calls.push_back(std::move(call));
        }
    }
    return content;
}

} // namespace wisteriafork::lab
