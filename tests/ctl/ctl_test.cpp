#include "admin/runningserver.h"
#include "config/samplefile.h"
#include "core/config/generator.h"
#include "ctl/command.h"
#include "ctl/ctl.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <nlohmann/json.hpp>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace wisteriafork;
using nlohmann::json;

TEST_GROUP(Ctl)
{
    std::filesystem::path m_folder = std::filesystem::temp_directory_path() / ("wisteriafork-ctl-" + std::to_string(::getpid()));
    std::string m_out;
    std::string m_err;
    const CtlDeployment m_deployment{.formatPublishedValue = [](const RouteTable &table) {
        return std::to_string(table.version()) + ": " + table.routes().front().name;
    }};

    void setup() override
    {
        std::filesystem::create_directories(m_folder);
        ::unsetenv("WISTERIAFORK_NODE");
        ::unsetenv("WISTERIAFORK_TOKEN");
    }

    void teardown() override
    {
        std::filesystem::remove_all(m_folder);
    }

    std::string file(const std::string &name, const std::string &content) const
    {
        std::ofstream(m_folder / name) << content;
        return m_folder / name;
    }

    int run(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(), "wisteriaforkctl");
        std::vector<char *> argv;
        argv.reserve(arguments.size() + 1);
        for (std::string &argument : arguments) {
            argv.push_back(argument.data());
        }
        argv.push_back(nullptr);
        std::ostringstream out;
        std::ostringstream err;
        const ExitCode code = runCtl(static_cast<int>(arguments.size()), argv.data(), out, err, m_deployment);
        m_out = out.str();
        m_err = err.str();
        return static_cast<int>(code);
    }
};

// Guards against a command without a help text, and against a help text that omits an option.
TEST(Ctl, printsHelpForEachCommand)
{
    LONGS_EQUAL(0, run({"--help"}));
    for (const Command &command : commands()) {
        STRCMP_CONTAINS(std::string(command.name).c_str(), m_out.c_str());
    }
    for (const Command &command : commands()) {
        std::vector<std::string> words{"--help"};
        std::istringstream names{std::string(command.name)};
        for (std::string word; names >> word;) {
            words.insert(words.end() - 1, word);
        }
        LONGS_EQUAL(0, run(words));
        STRCMP_CONTAINS("Exit codes:", m_out.c_str());
        for (const std::string &option : command.allowedOptions) {
            STRCMP_CONTAINS(("--" + option).c_str(), m_out.c_str());
        }
    }
}

// Guards against wrong usage that is reported as success.
TEST(Ctl, rejectsWrongUsage)
{
    const std::vector<std::vector<std::string>> wrongUsages{{},
                                                            {"config"},
                                                            {"questionnaire", "check"},
                                                            {"questionnaire", "check", "a", "b"},
                                                            {"questionnaire", "check", "a", "--node", "x"},
                                                            {"config", "generate", "a", "--version", "-1"},
                                                            {"config", "generate", "a", "--json"},
                                                            {"node", "drain", "--undo", "--wait", "1"},
                                                            {"node", "drain", "--wait", "9999"},
                                                            {"outcomes", "--workspace"}};
    for (const auto &arguments : wrongUsages) {
        LONGS_EQUAL(2, run(arguments));
        CHECK_FALSE(m_err.empty());
        STRCMP_EQUAL("", m_out.c_str());
    }
    LONGS_EQUAL(3, run({"questionnaire", "check", m_folder / "missing"}));
    LONGS_EQUAL(2, run({"config", "diff", "--output"}));
    STRCMP_CONTAINS("--output", m_err.c_str());
}

// Guards against an exit code 0 although the questionnaire has errors, or warnings with --strict, and against missing findings.
TEST(Ctl, checksQuestionnaires)
{
    LONGS_EQUAL(0, run({"questionnaire", "check", file("valid.json", readSample("hagen.json"))}));
    json answers = json::parse(readSample("hagen.json"));
    answers["services"][0]["operations"][0]["importance"] = "high";
    const std::string fileWithWarning = file("warned.json", answers.dump(1));
    LONGS_EQUAL(0, run({"questionnaire", "check", fileWithWarning}));
    LONGS_EQUAL(1, run({"questionnaire", "check", "--strict", fileWithWarning}));
    answers["services"][0]["slots"] = 0;
    LONGS_EQUAL(1, run({"questionnaire", "check", file("invalid.json", answers.dump(1)), "--json"}));
    const json report = json::parse(m_out);
    CHECK_FALSE(report["valid"].get<bool>());
    LONGS_EQUAL(2, report["findings"].size());
}

// Guards against generating a configuration from an invalid questionnaire, against a published value that does not match the generated
// configuration, and against a comparison that misses changes.
TEST(Ctl, generatesComparesAndShowsConfigurations)
{
    const std::string answers = file("answers.json", readSample("hagen.json"));
    const std::string first = m_folder / "first.json";
    const std::string second = m_folder / "second.json";
    LONGS_EQUAL(0, run({"config", "generate", answers, "--output", first, "--published", m_folder / "value"}));
    std::ifstream publishedFile(m_folder / "value");
    std::string publishedValue;
    std::getline(publishedFile, publishedValue);
    STRCMP_EQUAL("1: bestilling/place-order", publishedValue.c_str());
    LONGS_EQUAL(0, run({"config", "diff", first, first}));
    STRCMP_EQUAL("", m_out.c_str());

    json changedAnswers = json::parse(readSample("hagen.json"));
    changedAnswers["services"][3]["slots"] = 30;
    file("answers.json", changedAnswers.dump());
    LONGS_EQUAL(0, run({"config", "generate", answers, "--previous", first, "--output", second, "--json"}));
    LONGS_EQUAL(2, json::parse(m_out)["version"].get<int>());
    LONGS_EQUAL(1, run({"config", "diff", first, second}));
    STRCMP_EQUAL("changed services/verksted/slots: 35 -> 30\nchanged version: 1 -> 2\n", m_out.c_str());
    LONGS_EQUAL(0, run({"config", "show", second, "--json"}));
    const json shown = json::parse(m_out);
    LONGS_EQUAL(2, shown["version"].get<int>());
    LONGS_EQUAL(30, shown["services"][3]["slots"].get<int>());
    LONGS_EQUAL(0, run({"config", "show", second, "--service", "verksted"}));
    STRCMP_CONTAINS("book-repair: POST /verksted/repairs, critical, at most once", m_out.c_str());
    LONGS_EQUAL(1, run({"config", "show", second, "--service", "none"}));
    LONGS_EQUAL(2, run({"config", "generate", answers, "--previous", second, "--version", "2"}));

    changedAnswers["services"][3]["slots"] = "many";
    file("answers.json", changedAnswers.dump());
    const std::string third = m_folder / "third.json";
    LONGS_EQUAL(1, run({"config", "generate", answers, "--output", third}));
    CHECK_FALSE(std::filesystem::exists(third));
    LONGS_EQUAL(1, run({"config", "diff", first, answers}));
}

// Guards against commands that misread the responses of a node or do not report that the node denied the request.
TEST(Ctl, runsCommandsAgainstANode)
{
    RunningServer server;
    server.source.inForce = generateConfiguration(readSample("agency.json"), 5).configuration;
    ::setenv("WISTERIAFORK_NODE", ("http://127.0.0.1:" + std::to_string(server.server->port())).c_str(), 1);
    const std::string reader = file("reader", "reader-secret-0001\n");

    LONGS_EQUAL(5, run({"node", "status"}));
    LONGS_EQUAL(0, run({"node", "status", "--token-file", reader}));
    STRCMP_CONTAINS("registar-osijek-1 (service registar, failure domain osijek)", m_out.c_str());
    STRCMP_CONTAINS("configuration version 5", m_out.c_str());
    LONGS_EQUAL(0, run({"outcomes", "--token-file", reader, "--workspace", "growers"}));
    STRCMP_CONTAINS("12.3", m_out.c_str());
    STRCMP_CONTAINS("2 overloaded", m_out.c_str());
    STRCMP_CONTAINS("recovery took 4.0 s", m_out.c_str());
    LONGS_EQUAL(0, run({"config", "show", "--token-file", reader}));
    STRCMP_CONTAINS("configuration agency version 5", m_out.c_str());

    LONGS_EQUAL(5, run({"node", "drain", "--token-file", reader}));
    STRCMP_CONTAINS("this needs operator rights", m_err.c_str());
    ::setenv("WISTERIAFORK_TOKEN", "operator-secret-01", 1);
    LONGS_EQUAL(0, run({"node", "drain", "--wait", "5", "--json"}));
    CHECK(json::parse(m_out)["drained"].get<bool>());
    server.source.drainCompletes = false;
    LONGS_EQUAL(1, run({"node", "drain", "--wait", "0"}));
    LONGS_EQUAL(0, run({"node", "drain", "--undo"}));
    CHECK_FALSE(server.source.draining);

    LONGS_EQUAL(4, run({"node", "status", "--node", "http://127.0.0.1:1"}));
    LONGS_EQUAL(4, run({"node", "status", "--node", "nonsense"}));
}
