#pragma once

#include "net/asio.h"
#include "net/clientexchange.h"
#include "net/peeroptions.h"
#include "net/peersender.h"

#include <memory>
#include <string>

namespace wisteriafork {

// Pool of outgoing HTTP/2 sessions. It opens one session per peer address on demand and closes idle ones.
class PeerPool : public PeerSender
{
public:
    PeerPool(asio::io_context &context, const PeerOptions &options);
    ~PeerPool() override;

    std::shared_ptr<ClientExchange> send(const std::string &address, std::shared_ptr<const HttpRequest> request, HttpHeaders extra,
                                         ResponseHandler handler) override;
    // Closes all sessions. Requests in progress end with `Interrupted`; waiting and further requests end with `NotProcessed`.
    void stop();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace wisteriafork
