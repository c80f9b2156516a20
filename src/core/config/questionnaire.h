#pragma once

#include "core/config/configuration.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace wisteriafork {

// Purpose of an operation. Together with the importance, it determines the call class.
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

// Importance of a request to the people who send it.
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
    // Whether executing a request twice has the same effect as executing it once.
    bool idempotent = true;
    // Time for which callers wait for a response.
    std::chrono::milliseconds callersWait{0};
    // Response time up to which a response is fully useful to the caller.
    std::chrono::milliseconds targetLatency{0};
    // Ids of the services that the operation calls directly.
    std::vector<std::string> calls;
    // JSON pointer of these answers in the questionnaire.
    std::string pointer;
};

// Answers about one service.
struct ServiceAnswers
{
    std::string id;
    std::string pathPrefix;
    // Number of instances of the service.
    unsigned instances = 1;
    // Number of requests that one instance executes concurrently.
    unsigned slots = 1;
    // Number of connections that one instance accepts concurrently.
    unsigned connections = 1;
    std::vector<OperationAnswers> operations;
    // JSON pointer of these answers in the questionnaire.
    std::string pointer;
};

// All answers of a team about its services. `checkQuestionnaire` returns one only if the answers have no errors.
struct Questionnaire
{
    std::string name;
    // Host name that callers use to reach the services; if empty, every host name matches.
    std::string host;
    std::vector<std::string> failureDomains;
    std::vector<WorkspaceId> workspaces;
    std::vector<ServiceAnswers> services;
};

} // namespace wisteriafork
