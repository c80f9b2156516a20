#include "core/config/questionnairecheck.h"

#include "core/config/questionnairereader.h"
#include "core/config/questionnairerules.h"

#include <utility>

namespace wisteriafork {

namespace {

constexpr std::size_t MostFindings = 1000;

void limitFindings(Findings &findings)
{
    if (findings.size() <= MostFindings) {
        return;
    }
    const std::size_t omitted = findings.size() - MostFindings + 1;
    // An error only if one is left out or shown; a valid questionnaire stays valid.
    const Severity severity = hasErrors(findings) ? Severity::Error : Severity::Warning;
    findings.resize(MostFindings - 1);
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
