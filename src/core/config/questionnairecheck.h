#pragma once

#include "core/config/findings.h"
#include "core/config/questionnaire.h"

#include <optional>
#include <string_view>

namespace wisteriafork {

// Largest questionnaire text in bytes.
inline constexpr std::size_t MaximumQuestionnaireBytes = 4'000'000;

struct QuestionnaireCheck
{
    // Present only if no finding is an error.
    std::optional<Questionnaire> questionnaire;
    // Errors and warnings, ordered by line. At most 1000; if there are more, the last one says how many are omitted.
    Findings findings;
};

// Reads a questionnaire from a JSON text and checks it. Reports all findings together, with JSON pointer and line. Never throws.
QuestionnaireCheck checkQuestionnaire(std::string_view text);

} // namespace wisteriafork
