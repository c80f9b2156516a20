#pragma once

#include "core/config/locatedjson.h"
#include "core/config/questionnaire.h"

namespace wisteriafork {

// Reads the members of a questionnaire: presence, types, ranges and the form of names and paths. Rules that compare answers with each other
// are in questionnairerules.h. Answers that cannot be read get a value within their range.
Questionnaire readQuestionnaire(const LocatedJson &document, Findings &findings);

} // namespace wisteriafork
