#pragma once

#include "core/config/locatedjson.h"
#include "core/config/questionnaire.h"

namespace wisteriafork {

// Reads a questionnaire and reports missing members, wrong types, values out of range and malformed names and paths. The rules that compare
// answers with each other are in questionnairerules.h. An answer that cannot be read gets a default value, so that those rules can be
// applied.
Questionnaire readQuestionnaire(const LocatedJson &document, Findings &findings);

} // namespace wisteriafork
