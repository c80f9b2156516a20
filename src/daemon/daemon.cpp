#include "daemon/daemon.h"

#include "admin/adminserver.h"
#include "daemon/administration.h"
#include "daemon/callstatistics.h"
#include "daemon/publishedfiles.h"
#include "net/steadyclock.h"

#include <csignal>
#include <iostream>

#include <boost/asio/signal_set.hpp>

namespace wisteriafork {

namespace {

constexpr int AdministrationFailureStatus = 1;
// Exit status of a planned stop that a second signal or the end of the grace period breaks off.
constexpr int AbortedStopStatus = 3;

// Returns the settings of the relay with the TLS keys loaded from their files.
RelaySettings relaySettings(const Settings &settings)
{
    RelaySettings relay = settings.relay;
    if (settings.tls) {
        relay.tls = std::make_shared<TlsContext>(
            TlsFiles{.certificate = settings.tls->certificateFile, .key = settings.tls->keyFile, .authority = settings.tls->authorityFile});
    }
    return relay;
}

} // namespace

class Daemon::Impl
{
public:
    Impl(const Settings &nodeSettings, EventLog &eventLog)
        : settings(nodeSettings)
        , log(eventLog)
        , context(1)
        , statistics(clock)
        , relay(context, relaySettings(settings), log,
                {.snapshot = [this] { return files.snapshot(); },
                 .onSnapshotReceived = [this](const std::string &peer, const std::string &text) { files.applyPeerSnapshot(peer, text); },
                 .observer = &statistics})
        , files(context, relay, log, settings.configurationFile, settings.instancesFile)
        , administration(settings, relay, files, statistics)
        , signals(context, SIGTERM, SIGINT, SIGHUP)
    {
    }

    // Waits for the next signal. SIGHUP reloads the published files; SIGTERM or SIGINT starts the planned stop, and a second one aborts it.
    void waitForSignal()
    {
        signals.async_wait([this](const ErrorCode &error, int signalNumber) {
            if (error) {
                return;
            }
            if (signalNumber == SIGHUP) {
                files.reload();
            } else if (stopping) {
                finish(AbortedStopStatus);
                return;
            } else {
                stopping = true;
                relay.stop([this](std::size_t openRequests) { finish(openRequests == 0 ? 0 : AbortedStopStatus); });
            }
            waitForSignal();
        });
    }

    // Returns false if the settings request an administration API and it cannot be started. Prints the reason to standard error.
    bool startAdministration()
    {
        if (!settings.administration) {
            return true;
        }
        auto startResult = AdminServer::start(context, *settings.administration, administration, log);
        if (!startResult) {
            std::cerr << "wisteriafork-node: administration: " << describeAdminStartError(startResult.error()) << '\n';
            return false;
        }
        adminServer = std::move(*startResult);
        return true;
    }

    // Ends the event loop. `status` becomes the exit status of the process.
    void finish(int status)
    {
        exitStatus = status;
        files.stop();
        if (adminServer) {
            adminServer->stop();
        }
        signals.cancel();
        context.stop();
    }

    int run()
    {
        relay.start();
        if (!startAdministration()) {
            return AdministrationFailureStatus;
        }
        files.start();
        waitForSignal();
        context.run();
        log.write(EventNumber::NodeStopped, {exitStatus == 0 ? "planned stop" : "planned stop broken off"});
        return exitStatus;
    }

    const Settings &settings;
    EventLog &log;
    SteadyClock clock;
    asio::io_context context;
    CallStatistics statistics;
    Relay relay;
    PublishedFiles files;
    Administration administration;
    asio::signal_set signals;
    std::unique_ptr<AdminServer> adminServer;
    bool stopping = false;
    int exitStatus = 0;
};

Daemon::Daemon(const Settings &settings, EventLog &log) : m_impl(std::make_unique<Impl>(settings, log))
{
}

Daemon::~Daemon() = default;

int Daemon::run()
{
    return m_impl->run();
}

} // namespace wisteriafork
