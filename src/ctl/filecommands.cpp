#include "core/config/configurationdiff.h"
#include "core/config/configurationdocument.h"
#include "core/config/generator.h"
#include "core/config/questionnairecheck.h"
#include "core/config/routes.h"
#include "ctl/command.h"
#include "ctl/configurationfile.h"
#include "ctl/textfile.h"

#include <optional>
#include <ostream>

#include <nlohmann/json.hpp>

namespace wisteriafork {

namespace {

void printFindingLines(std::ostream &stream, const std::string &file, const Findings &findings)
{
    for (const Finding &finding : findings) {
        stream << file << ": " << describeFinding(finding) << "\n";
    }
}

nlohmann::json findingsJson(const Findings &findings)
{
    return nlohmann::json::parse(findingsToJson(findings), nullptr, false);
}

ExitCode reportFailure(CommandContext context, ExitCode code, const std::string &message)
{
    context.err << "wisteriaforkctl: " << message << "\n";
    return code;
}

// Writes the generated configuration, the published value if it was requested, and a summary.
ExitCode writeGeneratedFiles(const CtlArguments &arguments, CommandContext context, const Configuration &configuration,
                             const Findings &findings)
{
    if (!arguments.publishedFile.empty()) {
        const std::string value = context.deployment.formatPublishedValue(routesOf(configuration));
        const std::string error = writeTextFile(arguments.publishedFile, value);
        if (!error.empty()) {
            return reportFailure(context, ExitCode::FileError, error);
        }
    }
    if (arguments.outputFile.empty()) {
        context.out << configurationToJson(configuration);
        return ExitCode::Success;
    }
    const std::string error = writeTextFile(arguments.outputFile, configurationToJson(configuration));
    if (!error.empty()) {
        return reportFailure(context, ExitCode::FileError, error);
    }
    if (arguments.json) {
        const nlohmann::json summary = {{"version", configuration.version},
                                        {"services", configuration.services.size()},
                                        {"output", arguments.outputFile},
                                        {"findings", findingsJson(findings)}};
        context.out << summary.dump(2) << "\n";
    } else {
        context.out << "version " << configuration.version << " with " << configuration.services.size() << " services written to "
                    << arguments.outputFile << "\n";
    }
    return ExitCode::Success;
}

} // namespace

ExitCode runQuestionnaireCheck(const CtlArguments &arguments, CommandContext context)
{
    const std::string &file = arguments.operands[0];
    const auto text = readTextFile(file);
    if (!text) {
        return reportFailure(context, ExitCode::FileError, text.error());
    }
    const QuestionnaireCheck check = checkQuestionnaire(*text);
    const bool accepted = check.questionnaire && (!arguments.strict || check.findings.empty());
    if (arguments.json) {
        context.out << nlohmann::json{{"valid", accepted}, {"findings", findingsJson(check.findings)}}.dump(2) << "\n";
    } else {
        printFindingLines(context.out, file, check.findings);
        context.out << file << ": " << (accepted ? "valid" : "not valid") << ", " << check.findings.size() << " findings\n";
    }
    return accepted ? ExitCode::Success : ExitCode::NegativeResult;
}

ExitCode runConfigGenerate(const CtlArguments &arguments, CommandContext context)
{
    if (arguments.json && arguments.outputFile.empty()) {
        return reportFailure(context, ExitCode::Usage, "--json needs --output, since the configuration itself goes to standard output");
    }
    const std::string &file = arguments.operands[0];
    const auto text = readTextFile(file);
    if (!text) {
        return reportFailure(context, ExitCode::FileError, text.error());
    }
    std::optional<std::uint64_t> previousVersion;
    if (!arguments.previousFile.empty()) {
        auto previousConfiguration = readConfigurationFile(arguments.previousFile);
        if (!previousConfiguration) {
            return reportFailure(context, previousConfiguration.error().code, previousConfiguration.error().message);
        }
        previousVersion = previousConfiguration->version;
    }
    const auto version = chooseVersion(arguments.version, previousVersion);
    if (!version) {
        return reportFailure(context, ExitCode::Usage, "--version must be greater than 0 and than the previous version");
    }
    const GenerationResult result = generateConfiguration(*text, *version);
    if (!result.configuration) {
        if (arguments.json) {
            context.out << nlohmann::json{{"valid", false}, {"findings", findingsJson(result.findings)}}.dump(2) << "\n";
        } else {
            printFindingLines(context.err, file, result.findings);
        }
        return reportFailure(context, ExitCode::NegativeResult, "nothing was generated because the questionnaire has errors");
    }
    if (!arguments.json) {
        printFindingLines(context.err, file, result.findings);
    }
    return writeGeneratedFiles(arguments, context, *result.configuration, result.findings);
}

ExitCode runConfigDiff(const CtlArguments &arguments, CommandContext context)
{
    const auto before = readConfigurationFile(arguments.operands[0]);
    const auto after = readConfigurationFile(arguments.operands[1]);
    for (const auto *configuration : {&before, &after}) {
        if (!*configuration) {
            return reportFailure(context, configuration->error().code, configuration->error().message);
        }
    }
    const auto changes = compareConfigurations(*before, *after);
    if (arguments.json) {
        context.out << nlohmann::json::parse(changesToJson(changes), nullptr, false).dump(2) << "\n";
    } else {
        context.out << describeChanges(changes);
    }
    return changes.empty() ? ExitCode::Success : ExitCode::NegativeResult;
}

} // namespace wisteriafork
