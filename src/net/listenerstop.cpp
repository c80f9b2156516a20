#include "net/listenerstop.h"

#include <array>
#include <cstdint>

#include <linux/filter.h>
#include <sys/socket.h>

namespace wisteriafork {

namespace {

// Offset in bytes from the start of the TCP header.
constexpr std::uint32_t TcpFlagsOffset = 13;
constexpr std::uint32_t SynFlag = 0x02;
// Return values of a socket filter: the number of bytes of the packet to keep.
constexpr std::uint32_t KeepPacket = 0xffffffff;
constexpr std::uint32_t DropPacket = 0;

} // namespace

void ignoreNewConnections(int listeningSocket)
{
    // Drops only packets with the SYN flag. Dropping all packets reset connections whose handshake was in progress.
    std::array<sock_filter, 4> dropSyn{{
        {.code = BPF_LD | BPF_B | BPF_ABS, .jt = 0, .jf = 0, .k = TcpFlagsOffset},
        {.code = BPF_JMP | BPF_JSET | BPF_K, .jt = 0, .jf = 1, .k = SynFlag},
        {.code = BPF_RET | BPF_K, .jt = 0, .jf = 0, .k = DropPacket},
        {.code = BPF_RET | BPF_K, .jt = 0, .jf = 0, .k = KeepPacket},
    }};
    const sock_fprog program = {.len = dropSyn.size(), .filter = dropSyn.data()};
    // An error is ignored: without the filter, connections whose handshake completes while the socket is closed are reset.
    setsockopt(listeningSocket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

} // namespace wisteriafork
