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

constexpr int AdministrationFailedStatus = 1;
// Conventional status of a process that a second signal ends.
constexpr int BrokenOffStatus = 3;

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

class Daemon::Private
{
public:
    Private(const Settings &nodeSettings, EventLog &eventLog)
        : settings(nodeSettings)
        , log(eventLog)
        , context(1)
        , statistics(clock)
        , relay(context, relaySettings(settings), log,
                {.snapshot = [this] { return files.snapshot(); },
                 .snapshotReceived = [this](const std::string &peer, const std::string &text) { files.takeSnapshot(peer, text); },
                 .observer = &statistics})
        , files(context, relay, log, settings.configurationFile, settings.instancesFile)
        , administration(settings, relay, files, statistics)
        , signals(context, SIGTERM, SIGINT, SIGHUP)
    {
    }

    void waitForSignal()
    {
        signals.async_wait([this](const ErrorCode &error, int number) {
            if (error) {
                return;
            }
            if (number == SIGHUP) {
                files.reread();
            } else if (stopping) {
                finish(BrokenOffStatus);
                return;
            } else {
                stopping = true;
                relay.stop([this] { finish(0); });
            }
            waitForSignal();
        });
    }

    // False if the settings ask for an administration API that cannot be started.
    bool startAdministration()
    {
        if (!settings.administration) {
            return true;
        }
        auto started = AdminServer::start(context, *settings.administration, administration, log);
        if (!started) {
            std::cerr << "wisteriafork-node: administration: " << describeAdminStartError(started.error()) << '\n';
            return false;
        }
        adminServer = std::move(*started);
        return true;
    }

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
            return AdministrationFailedStatus;
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

Daemon::Daemon(const Settings &settings, EventLog &log) : d(std::make_unique<Private>(settings, log))
{
}

Daemon::~Daemon() = default;

int Daemon::run()
{
    return d->run();
}

} // namespace wisteriafork
