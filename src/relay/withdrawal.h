#pragma once

#include <chrono>
#include <string>
#include <tuple>

namespace wisteriafork {

// Message of a node whose process ends: requests that it has sent to the receiver and that have not started there are to be refused, so
// that their callers learn in time that they have not run. The receiver answers each of them as not executed. The message is repeated until
// the process ends; a request whose withdrawal is lost ends without a proof.
struct Withdrawal
{
    // Address of the ending node, as its requests name it.
    std::string sender;
    // Time to the end of the process. Requests with an earlier deadline go on, because they end before it.
    std::chrono::microseconds remaining{0};

    auto fields()
    {
        return std::tie(sender, remaining);
    }
    auto fields() const
    {
        return std::tie(sender, remaining);
    }
};

} // namespace wisteriafork
