#pragma once

#include "core/config/locatedjson.h"
#include "core/config/questionnaire.h"

namespace wisteriafork {

// Compares answers with each other and reports duplicate names, overlapping paths and contradictions, and warns of answers with unwanted
// effects, for example a service with a single instance.
void checkAnswers(const Questionnaire &questionnaire, const LocatedJson &document, Findings &findings);

// Checks the calls between services. Reports unknown services, services named twice by one operation and cycles, and warns of call chains
// that are deeper than the system is designed for.
void checkCallGraph(const Questionnaire &questionnaire, const LocatedJson &document, Findings &findings);

} // namespace wisteriafork
