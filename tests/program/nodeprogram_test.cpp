#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <vector>

#include "program/nodeprogram.h"

#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;

TEST_GROUP(NodeProgram)
{
    const std::string file = std::filesystem::temp_directory_path() / ("wisteriafork-program-" + std::to_string(::getpid()) + ".json");
    std::ostringstream out;
    std::ostringstream err;
    unsigned runs = 0;
    NodeProgram program{
        .name = "some-node", .summary = "Does something.", .prepareRun = [this](const std::string &, const std::string &text) {
            return prepareRun(text);
        }};

    void teardown() override
    {
        std::filesystem::remove(file);
    }

    ValueOrFindings<std::function<int()>> prepareRun(const std::string &text)
    {
        if (text == "wrong") {
            return tl::unexpected(Findings{{.message = "first problem"}, {.message = "second problem"}});
        }
        return std::function<int()>([this, text] {
            ++runs;
            if (text == "broken") {
                throw std::runtime_error("address in use");
            }
            return 0;
        });
    }

    int run(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(), program.name);
        std::vector<char *> pointers;
        pointers.reserve(arguments.size() + 1);
        for (std::string &argument : arguments) {
            pointers.push_back(argument.data());
        }
        pointers.push_back(nullptr);
        return runNodeProgram(static_cast<int>(arguments.size()), pointers.data(), program, out, err);
    }

    int runWithSettings(const std::string &text, std::vector<std::string> arguments)
    {
        std::ofstream(file) << text;
        arguments.insert(arguments.end(), {"--settings", file});
        return run(std::move(arguments));
    }
};

TEST(NodeProgram, TheNodeRunsWithTheSettingsFileOfTheOption)
{
    LONGS_EQUAL(0, runWithSettings("good", {}));
    LONGS_EQUAL(1, runs);
}

TEST(NodeProgram, TheDefaultSettingsFileIsUsedWithoutTheOption)
{
    std::ofstream(file) << "good";
    program.defaultSettingsFile = file;

    LONGS_EQUAL(0, run({}));
    LONGS_EQUAL(1, runs);
}

TEST(NodeProgram, AMissingSettingsOptionIsAnErrorWithoutADefaultFile)
{
    LONGS_EQUAL(2, run({}));
    STRCMP_CONTAINS("some-node: --settings is missing", err.str().c_str());
    LONGS_EQUAL(0, runs);
}

TEST(NodeProgram, ACheckReportsAllFindingsInTheFileAndDoesNotStartTheNode)
{
    LONGS_EQUAL(2, runWithSettings("wrong", {"--check"}));
    STRCMP_CONTAINS((file + ": error: first problem\n" + file + ": error: second problem\n").c_str(), err.str().c_str());
}

TEST(NodeProgram, ACheckOfGoodSettingsDoesNotStartTheNode)
{
    LONGS_EQUAL(0, runWithSettings("good", {"--check"}));
    LONGS_EQUAL(0, runs);
}

TEST(NodeProgram, AnUnknownOptionAndASurplusArgumentAreRefused)
{
    LONGS_EQUAL(2, runWithSettings("good", {"--colour"}));
    LONGS_EQUAL(2, runWithSettings("good", {"surplus"}));
    STRCMP_CONTAINS("unknown option or missing value: --colour", err.str().c_str());
    STRCMP_CONTAINS("unexpected argument: surplus", err.str().c_str());
    LONGS_EQUAL(0, runs);
}

TEST(NodeProgram, AnUnreadableSettingsFileIsReported)
{
    LONGS_EQUAL(2, run({"--settings", file + ".missing"}));
    STRCMP_CONTAINS("the file cannot be read", err.str().c_str());
}

TEST(NodeProgram, AnExceptionWhileRunningIsReportedWithStatusOne)
{
    LONGS_EQUAL(1, runWithSettings("broken", {}));
    STRCMP_CONTAINS("some-node: address in use", err.str().c_str());
}

TEST(NodeProgram, TheHelpTextNamesTheProgramAndTheDefaultFile)
{
    program.defaultSettingsFile = file;

    LONGS_EQUAL(0, run({"--help"}));
    STRCMP_CONTAINS("Usage: some-node [--settings FILE] [--check]", out.str().c_str());
    STRCMP_CONTAINS(file.c_str(), out.str().c_str());
}
