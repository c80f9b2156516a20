#include "core/config/configurationdiff.h"
#include "core/config/generator.h"
#include "core/config/publishedconfiguration.h"
#include "core/config/questionnairecheck.h"
#include "ctl/command.h"
#include "ctl/configurationfile.h"
#include "ctl/textfile.h"

#include <filesystem>
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

// Writes one file per value of the configuration service; the path below the directory is the key.
std::string writeValues(const std::string &directory, const PublishedConfiguration &published)
{
    for (const auto &[key, value] : platformValues(published)) {
        const std::filesystem::path path = std::filesystem::path(directory) / key;
        std::error_code error;
        std::filesystem::create_directories(path.parent_path(), error);
        if (error) {
            return "cannot create " + path.parent_path().string() + ": " + error.message();
        }
        std::string problem = writeTextFile(path.string(), value);
        if (!problem.empty()) {
            return problem;
        }
    }
    return {};
}

nlohmann::json findingsJson(const Findings &findings)
{
    return nlohmann::json::parse(printFindings(findings), nullptr, false);
}

ExitCode fail(CommandStreams streams, ExitCode code, const std::string &message)
{
    streams.err << "wisteriaforkctl: " << message << "\n";
    return code;
}

// Writes the results of a successful generation.
ExitCode writeGenerated(const CtlArguments &line, CommandStreams streams, const PublishedConfiguration &published, const Findings &findings)
{
    if (!line.valuesDirectory.empty()) {
        const std::string problem = writeValues(line.valuesDirectory, published);
        if (!problem.empty()) {
            return fail(streams, ExitCode::FileError, problem);
        }
    }
    if (line.outputFile.empty()) {
        streams.out << printPublished(published);
        return ExitCode::Success;
    }
    const std::string problem = writeTextFile(line.outputFile, printPublished(published));
    if (!problem.empty()) {
        return fail(streams, ExitCode::FileError, problem);
    }
    if (line.json) {
        const nlohmann::json summary = {{"version", published.index.version},
                                        {"slices", published.slices.size()},
                                        {"output", line.outputFile},
                                        {"findings", findingsJson(findings)}};
        streams.out << summary.dump(2) << "\n";
    } else {
        streams.out << "version " << published.index.version << " with " << published.slices.size() << " slices written to "
                    << line.outputFile << "\n";
    }
    return ExitCode::Success;
}

} // namespace

ExitCode runQuestionnaireCheck(const CtlArguments &line, CommandStreams streams)
{
    const std::string &file = line.operands[0];
    const auto text = readTextFile(file);
    if (!text) {
        return fail(streams, ExitCode::FileError, text.error());
    }
    const QuestionnaireCheck check = checkQuestionnaire(*text);
    const bool accepted = check.questionnaire && (!line.strict || check.findings.empty());
    if (line.json) {
        streams.out << nlohmann::json{{"valid", accepted}, {"findings", findingsJson(check.findings)}}.dump(2) << "\n";
    } else {
        printFindingLines(streams.out, file, check.findings);
        streams.out << file << ": " << (accepted ? "valid" : "not valid") << ", " << check.findings.size() << " findings\n";
    }
    return accepted ? ExitCode::Success : ExitCode::Negative;
}

ExitCode runConfigGenerate(const CtlArguments &line, CommandStreams streams)
{
    if (line.json && line.outputFile.empty()) {
        return fail(streams, ExitCode::Usage, "--json needs --output, since the configuration itself goes to standard output");
    }
    const std::string &file = line.operands[0];
    const auto text = readTextFile(file);
    if (!text) {
        return fail(streams, ExitCode::FileError, text.error());
    }
    std::optional<PublishedConfiguration> previous;
    if (!line.previousFile.empty()) {
        auto read = readConfigurationFile(line.previousFile);
        if (!read) {
            return fail(streams, read.error().code, read.error().message);
        }
        previous = std::move(read->published);
    }
    const auto version = chooseVersion(line.version, previous ? std::optional(previous->index.version) : std::nullopt);
    if (!version) {
        return fail(streams, ExitCode::Usage, "--version must be greater than 0 and than the previous version");
    }
    const GenerationResult result = generateConfiguration(*text, *version);
    if (!result.configuration) {
        if (line.json) {
            streams.out << nlohmann::json{{"valid", false}, {"findings", findingsJson(result.findings)}}.dump(2) << "\n";
        } else {
            printFindingLines(streams.err, file, result.findings);
        }
        return fail(streams, ExitCode::Negative, "nothing was generated because the questionnaire has errors");
    }
    if (!line.json) {
        printFindingLines(streams.err, file, result.findings);
    }
    return writeGenerated(line, streams, publishConfiguration(*result.configuration, previous ? &*previous : nullptr), result.findings);
}

ExitCode runConfigDiff(const CtlArguments &line, CommandStreams streams)
{
    const auto before = readConfigurationFile(line.operands[0]);
    const auto after = readConfigurationFile(line.operands[1]);
    for (const auto *side : {&before, &after}) {
        if (!*side) {
            return fail(streams, side->error().code, side->error().message);
        }
    }
    const auto changes = compareConfigurations(before->configuration, after->configuration);
    if (line.json) {
        streams.out << nlohmann::json::parse(printChanges(changes), nullptr, false).dump(2) << "\n";
    } else {
        streams.out << describeChanges(changes);
    }
    return changes.empty() ? ExitCode::Success : ExitCode::Negative;
}

} // namespace wisteriafork
