#pragma once

#include "net/asio.h"
#include "net/clientexchange.h"
#include "net/peeroptions.h"
#include "net/peersender.h"

#include <memory>
#include <string>

namespace wisteriafork {

// Outgoing HTTP/2 sessions, one per peer address, opened on demand and closed when idle.
class PeerPool : public PeerSender
{
public:
    PeerPool(asio::io_context &context, const PeerOptions &options);
    ~PeerPool() override;

    std::shared_ptr<ClientExchange> send(const std::string &address, std::shared_ptr<const HttpRequest> request, HttpHeaders extra,
                                         ResponseHandler handler) override;
    // Closes all sessions.
    void stop();

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace wisteriafork
