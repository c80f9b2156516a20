#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace wisteriafork {

// What a node asks for one workspace.
struct QuotaAsk
{
    std::string workspace;
    // The receiver is asked as the standby, because the lender did not help.
    bool asStandby = false;
    // Requests that wait for a token, and the tokens that the node expects to use within their lifetime, including those.
    std::uint32_t waiting = 0;
    std::uint32_t wanted = 0;

    auto fields()
    {
        return std::tie(workspace, asStandby, waiting, wanted);
    }
    auto fields() const
    {
        return std::tie(workspace, asStandby, waiting, wanted);
    }
};

struct QuotaGrant
{
    std::string workspace;
    // The sender lends for the workspace in the role in which it was asked, and is able to.
    bool lends = false;
    std::uint32_t tokens = 0;
    // Time after which another request is likely to get a token, if there were too few.
    std::uint64_t retryAfterMs = 0;

    auto fields()
    {
        return std::tie(workspace, lends, tokens, retryAfterMs);
    }
    auto fields() const
    {
        return std::tie(workspace, lends, tokens, retryAfterMs);
    }
};

// Question of a node for tokens of workspaces that have the same lender, and its answer.
struct QuotaRequest
{
    std::vector<QuotaAsk> asks;

    auto fields()
    {
        return std::tie(asks);
    }
    auto fields() const
    {
        return std::tie(asks);
    }
};

struct QuotaResponse
{
    std::vector<QuotaGrant> grants;

    auto fields()
    {
        return std::tie(grants);
    }
    auto fields() const
    {
        return std::tie(grants);
    }
};

} // namespace wisteriafork
