#include "net/peertransport.h"

#include "net/plaintransport.h"

namespace wisteriafork {

std::unique_ptr<PeerTransport> makePeerTransport(Socket socket, std::shared_ptr<const TlsContext>)
{
    return std::make_unique<PlainTransport>(std::move(socket));
}

} // namespace wisteriafork
