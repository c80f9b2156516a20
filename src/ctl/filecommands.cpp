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

ExitCode fail(CommandContext context, ExitCode code, const std::string &message)
{
    context.err << "wisteriaforkctl: " << message << "\n";
    return code;
}

// Writes the results of a successful generation.
ExitCode writeGenerated(const CtlArguments &line, CommandContext context, const Configuration &configuration, const Findings &findings)
{
    if (!line.publishedFile.empty()) {
        const std::string value = context.deployment.printPublishedValue(routesOf(configuration));
        const std::string problem = writeTextFile(line.publishedFile, value);
        if (!problem.empty()) {
            return fail(context, ExitCode::FileError, problem);
        }
    }
    if (line.outputFile.empty()) {
        context.out << configurationToJson(configuration);
        return ExitCode::Success;
    }
    const std::string problem = writeTextFile(line.outputFile, configurationToJson(configuration));
    if (!problem.empty()) {
        return fail(context, ExitCode::FileError, problem);
    }
    if (line.json) {
        const nlohmann::json summary = {{"version", configuration.version},
                                        {"services", configuration.services.size()},
                                        {"output", line.outputFile},
                                        {"findings", findingsJson(findings)}};
        context.out << summary.dump(2) << "\n";
    } else {
        context.out << "version " << configuration.version << " with " << configuration.services.size() << " services written to "
                    << line.outputFile << "\n";
    }
    return ExitCode::Success;
}

} // namespace

ExitCode runQuestionnaireCheck(const CtlArguments &line, CommandContext context)
{
    const std::string &file = line.operands[0];
    const auto text = readTextFile(file);
    if (!text) {
        return fail(context, ExitCode::FileError, text.error());
    }
    const QuestionnaireCheck check = checkQuestionnaire(*text);
    const bool accepted = check.questionnaire && (!line.strict || check.findings.empty());
    if (line.json) {
        context.out << nlohmann::json{{"valid", accepted}, {"findings", findingsJson(check.findings)}}.dump(2) << "\n";
    } else {
        printFindingLines(context.out, file, check.findings);
        context.out << file << ": " << (accepted ? "valid" : "not valid") << ", " << check.findings.size() << " findings\n";
    }
    return accepted ? ExitCode::Success : ExitCode::Negative;
}

ExitCode runConfigGenerate(const CtlArguments &line, CommandContext context)
{
    if (line.json && line.outputFile.empty()) {
        return fail(context, ExitCode::Usage, "--json needs --output, since the configuration itself goes to standard output");
    }
    const std::string &file = line.operands[0];
    const auto text = readTextFile(file);
    if (!text) {
        return fail(context, ExitCode::FileError, text.error());
    }
    std::optional<std::uint64_t> previous;
    if (!line.previousFile.empty()) {
        auto read = readConfigurationFile(line.previousFile);
        if (!read) {
            return fail(context, read.error().code, read.error().message);
        }
        previous = read->version;
    }
    const auto version = chooseVersion(line.version, previous);
    if (!version) {
        return fail(context, ExitCode::Usage, "--version must be greater than 0 and than the previous version");
    }
    const GenerationResult result = generateConfiguration(*text, *version);
    if (!result.configuration) {
        if (line.json) {
            context.out << nlohmann::json{{"valid", false}, {"findings", findingsJson(result.findings)}}.dump(2) << "\n";
        } else {
            printFindingLines(context.err, file, result.findings);
        }
        return fail(context, ExitCode::Negative, "nothing was generated because the questionnaire has errors");
    }
    if (!line.json) {
        printFindingLines(context.err, file, result.findings);
    }
    return writeGenerated(line, context, *result.configuration, result.findings);
}

ExitCode runConfigDiff(const CtlArguments &line, CommandContext context)
{
    const auto before = readConfigurationFile(line.operands[0]);
    const auto after = readConfigurationFile(line.operands[1]);
    for (const auto *side : {&before, &after}) {
        if (!*side) {
            return fail(context, side->error().code, side->error().message);
        }
    }
    const auto changes = compareConfigurations(*before, *after);
    if (line.json) {
        context.out << nlohmann::json::parse(changesToJson(changes), nullptr, false).dump(2) << "\n";
    } else {
        context.out << describeChanges(changes);
    }
    return changes.empty() ? ExitCode::Success : ExitCode::Negative;
}

} // namespace wisteriafork
