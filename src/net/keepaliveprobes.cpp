#include "net/keepaliveprobes.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace wisteriafork {

namespace {

constexpr int MaxUnansweredProbes = 2;

// An error is ignored: without the option, a dead connection is detected later by the timeouts of the requests.
void setOption(Socket &socket, int level, int option, int value)
{
    (void)setsockopt(socket.native_handle(), level, option, &value, sizeof(value));
}

} // namespace

void enableKeepAliveProbes(Socket &socket, std::chrono::seconds interval)
{
    const int seconds = static_cast<int>(interval.count());
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, MaxUnansweredProbes);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, (MaxUnansweredProbes + 1) * seconds * 1000);
}

} // namespace wisteriafork
