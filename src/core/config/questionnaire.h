#pragma once

#include "core/config/configuration.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace wisteriafork {

// What an operation is for.
enum class Purpose : std::uint8_t {
    Booking,
    Order,
    Repair,
    // Any other change of data.
    Update,
    Read,
    // A read that other services make to answer their own requests.
    Lookup,
    Download,
};

// How much a request matters to the people who send it.
enum class Importance : std::uint8_t {
    Low,
    Normal,
    High,
};

// Answers about one operation of a service.
struct OperationAnswers
{
    std::string id;
    std::string method;
    std::string pathPrefix;
    Purpose purpose = Purpose::Read;
    Importance importance = Importance::Normal;
    bool idempotent = true;
    // How long callers wait for a response.
    std::chrono::milliseconds callersWait{0};
    // Time within which a response is fully useful to them.
    std::chrono::milliseconds targetLatency{0};
    std::vector<std::string> calls;
    // JSON pointer of these answers in the questionnaire.
    std::string pointer;
};

struct ServiceAnswers
{
    std::string id;
    std::string pathPrefix;
    unsigned instances = 1;
    unsigned slots = 1;
    unsigned connections = 1;
    std::vector<OperationAnswers> operations;
    std::string pointer;
};

// Everything that a team answers about its services. Comes from `checkQuestionnaire`, which gives it only if there are no errors.
struct Questionnaire
{
    std::string name;
    // Host name under which callers reach the services; empty for every host name.
    std::string host;
    std::vector<std::string> failureDomains;
    std::vector<WorkspaceId> workspaces;
    std::vector<ServiceAnswers> services;
};

} // namespace wisteriafork
