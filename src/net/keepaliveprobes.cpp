#include "net/keepaliveprobes.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace wisteriafork {

namespace {

constexpr int UnansweredProbes = 2;

// An option that the system does not know is left out: the time-outs of the requests find a dead connection later.
void setOption(Socket &socket, int level, int option, int value)
{
    (void)setsockopt(socket.native_handle(), level, option, &value, sizeof(value));
}

} // namespace

void probeSilentConnection(Socket &socket, std::chrono::seconds silence)
{
    const int seconds = static_cast<int>(silence.count());
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, UnansweredProbes);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, (UnansweredProbes + 1) * seconds * 1000);
}

} // namespace wisteriafork
