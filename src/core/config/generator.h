#pragma once

#include "core/config/configuration.h"
#include "core/config/findings.h"
#include "core/config/questionnaire.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace wisteriafork {

struct GenerationResult
{
    // Present only if no finding is an error.
    std::optional<Configuration> configuration;
    // Errors and warnings of `checkQuestionnaire`.
    Findings findings;
};

// Checks a questionnaire and generates a configuration with the given version from it. Equal texts and versions give equal configurations.
// Takes the text instead of a `Questionnaire`, so that no configuration is generated from answers that were not checked.
GenerationResult generateConfiguration(std::string_view questionnaireText, std::uint64_t version);

// Version for a new configuration: the requested one, or else one more than the previous one, or else 1. Empty if the requested version is
// 0 or not greater than the previous one.
std::optional<std::uint64_t> chooseVersion(std::optional<std::uint64_t> requested, std::optional<std::uint64_t> previous);

// Call class of an operation. Bookings, orders, repairs and updates of high importance are critical; downloads and reads of low importance
// are bulk; all other operations are read.
CallClass callClassFor(Purpose purpose, Importance importance);

} // namespace wisteriafork
