#include "core/config/questionnairecheck.h"

#include "core/config/questionnairereader.h"
#include "core/config/questionnairerules.h"

#include <utility>

namespace wisteriafork {

namespace {

constexpr std::size_t MaximumReportedFindings = 1000;

// Replaces the findings beyond the limit by one that gives their number.
void limitFindings(Findings &findings)
{
    if (findings.size() <= MaximumReportedFindings) {
        return;
    }
    const std::size_t omitted = findings.size() - MaximumReportedFindings + 1;
    // An error only if there are errors, shown or omitted: warnings alone must not make the questionnaire invalid.
    const Severity severity = hasErrors(findings) ? Severity::Error : Severity::Warning;
    findings.resize(MaximumReportedFindings - 1);
    findings.push_back(
        {.severity = severity, .pointer = "", .line = 0, .message = std::to_string(omitted) + " further findings are not shown"});
}

} // namespace

QuestionnaireCheck checkQuestionnaire(std::string_view text)
{
    QuestionnaireCheck check;
    const ValueOrFindings<LocatedJson> document = parseLocatedJson(text, MaximumQuestionnaireBytes);
    if (!document) {
        check.findings = document.error();
    } else {
        Questionnaire questionnaire = readQuestionnaire(*document, check.findings);
        checkAnswers(questionnaire, *document, check.findings);
        checkCallGraph(questionnaire, *document, check.findings);
        if (!hasErrors(check.findings)) {
            check.questionnaire = std::move(questionnaire);
        }
    }
    sortFindings(check.findings);
    limitFindings(check.findings);
    return check;
}

} // namespace wisteriafork
