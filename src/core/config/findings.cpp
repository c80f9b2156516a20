#include "core/config/findings.h"

#include <algorithm>
#include <tuple>

#include <nlohmann/json.hpp>

namespace wisteriafork {

bool hasErrors(const Findings &findings)
{
    return std::any_of(findings.begin(), findings.end(), [](const Finding &finding) { return finding.severity == Severity::Error; });
}

void sortFindings(Findings &findings)
{
    std::stable_sort(findings.begin(), findings.end(), [](const Finding &first, const Finding &second) {
        return std::tie(first.line, first.pointer) < std::tie(second.line, second.pointer);
    });
}

std::string_view severityName(Severity severity)
{
    return severity == Severity::Error ? "error" : "warning";
}

std::string describeFinding(const Finding &finding)
{
    std::string text(severityName(finding.severity));
    text += ": ";
    if (finding.line != 0) {
        text += "line " + std::to_string(finding.line) + ": ";
    }
    if (!finding.pointer.empty()) {
        text += finding.pointer + ": ";
    }
    return text + finding.message;
}

std::string findingsToJson(const Findings &findings)
{
    nlohmann::json list = nlohmann::json::array();
    for (const Finding &finding : findings) {
        list.push_back({{"severity", severityName(finding.severity)},
                        {"pointer", finding.pointer},
                        {"line", finding.line},
                        {"message", finding.message}});
    }
    return list.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace wisteriafork
