#pragma once

#include "lab/httpclient.h"
#include "lab/loadoptions.h"
#include "lab/loadresult.h"

#include <random>

namespace wisteriafork::lab {

// Sends requests as clients do that are not aware of wisteriafork. New requests start at a given rate, however long the responses take
// (open loop). After a failed attempt a request is resent with the same id to the next target, until the resend duration has passed. A POST
// request is resent only after a refusal, because it may have been executed in any other case.
class LoadGenerator
{
public:
    LoadGenerator(asio::io_context &context, LoadOptions options);

    // Runs all phases, then waits for the open requests. Call once.
    asio::awaitable<void> run();

    // Complete when `run` has finished.
    const LoadResult &result() const;

private:
    // A request of a caller; the same in all its attempts.
    struct CallerRequest
    {
        std::string requestId;
        std::string traceParent;
        const LoadOperation &operation;
    };

    // What the caller knows about the request after an attempt.
    enum class AttemptOutcome : std::uint8_t {
        // The whole response arrived in time.
        Completed,
        // The attempt was refused.
        NotExecuted,
        // The request may have been executed.
        Unknown,
    };

    // Sends and resends one request that starts in the given second of the run; `number` makes its id unique.
    asio::awaitable<void> runRequest(std::size_t secondIndex, const LoadOperation &operation, std::uint64_t number);
    asio::awaitable<AttemptOutcome> sendAttempt(const CallerRequest &callerRequest, std::size_t target);
    asio::awaitable<void> sleepFor(std::chrono::nanoseconds time);
    // Counts the response in the result of the operation.
    AttemptOutcome recordResponse(const CallerRequest &callerRequest, OperationResult &result, const HttpResponse &response);
    // Draws one of the operations at random, by their weights.
    const LoadOperation &drawOperation();
    SecondResult &resultOfSecond(std::size_t secondIndex);
    void printProgress(std::size_t secondIndex);

    asio::io_context &m_context;
    LoadOptions m_options;
    HttpClient m_client;
    std::mt19937_64 m_random;
    LoadResult m_result;
    std::chrono::steady_clock::time_point m_startTime;
    std::uint64_t m_openRequests = 0;
};

} // namespace wisteriafork::lab
