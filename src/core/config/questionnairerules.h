#pragma once

#include "core/config/locatedjson.h"
#include "core/config/questionnaire.h"

namespace wisteriafork {

// Checks answers against each other: duplicate names, overlapping paths, and what an operation's answers imply for each other.
void checkAnswers(const Questionnaire &questionnaire, const LocatedJson &document, Findings &findings);

// Checks calls between services: unknown services, cycles, and chains that are deeper than the design allows for.
void checkCallGraph(const Questionnaire &questionnaire, const LocatedJson &document, Findings &findings);

} // namespace wisteriafork
