#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wisteriafork::lab {

// Outcomes of the requests of one operation.
struct OperationResult
{
    std::uint64_t requests = 0;
    // Requests that got the whole response in time.
    std::uint64_t completed = 0;
    // Successful responses that do not carry the id of the request; must be 0.
    std::uint64_t mismatched = 0;
    // Requests that did not complete: the resend duration passed, or resending might have executed a request twice that is not idempotent.
    std::uint64_t abandoned = 0;
    std::uint64_t attempts = 0;
    // Attempts that were refused, so certainly not executed.
    std::uint64_t refused = 0;
    // Attempts that failed otherwise, except by timeout; they may have been executed.
    std::uint64_t otherErrors = 0;
    std::uint64_t timeouts = 0;
};

// Outcomes of the requests that started in one second of the run.
struct SecondResult
{
    std::uint64_t requests = 0;
    std::uint64_t completed = 0;
    // Requests that completed in this second, whenever they started.
    std::uint64_t completions = 0;
    // Latencies of the completed requests, from the first attempt on.
    std::vector<double> latenciesMs;
};

struct LoadResult
{
    // By name of the operation.
    std::map<std::string, OperationResult> operations;
    // By second of the run.
    std::vector<SecondResult> seconds;
};

} // namespace wisteriafork::lab
