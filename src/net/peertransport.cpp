#include "net/peertransport.h"

#include "net/plaintransport.h"
#include "net/tlstransport.h"

namespace wisteriafork {

std::unique_ptr<PeerTransport> makePeerTransport(Socket socket, std::shared_ptr<const TlsContext> tls)
{
    if (tls) {
        return std::make_unique<TlsTransport>(std::move(socket), std::move(tls));
    }
    return std::make_unique<PlainTransport>(std::move(socket));
}

} // namespace wisteriafork
