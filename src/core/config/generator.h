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
    Findings findings;
};

// Checks a questionnaire and generates the configuration from it. Equal texts and versions give equal configurations. Taking the text
// instead of a `Questionnaire` makes sure that nothing is generated from answers that were not checked.
GenerationResult generateConfiguration(std::string_view questionnaireText, std::uint64_t version);

// Version for a new configuration: the requested one, or one more than the previous one, or 1. Empty if the requested version is 0 or not
// greater than the previous one.
std::optional<std::uint64_t> chooseVersion(std::optional<std::uint64_t> requested, std::optional<std::uint64_t> previous);

// Class of an operation: bookings, orders, repairs and important updates are critical, downloads and unimportant reads are bulk, everything
// else is read.
CallClass classOf(Purpose purpose, Importance importance);

} // namespace wisteriafork
