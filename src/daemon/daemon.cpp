#include "daemon/daemon.h"

#include "admin/adminserver.h"
#include "daemon/administration.h"
#include "daemon/nodeshell.h"
#include "daemon/repeatingtimer.h"
#include "daemon/serverloadpoller.h"
#include "net/httpserver.h"
#include "net/peerserver.h"
#include "net/tlscontext.h"

#include <csignal>
#include <iostream>
#include <sstream>
#include <thread>
#include <vector>

#include <boost/asio/signal_set.hpp>

namespace wisteriafork {

namespace {

constexpr std::chrono::milliseconds TickInterval{100};
// Calls end at most this time after their deadline.
constexpr std::chrono::milliseconds SweepInterval{20};
constexpr std::chrono::milliseconds DrainCheckInterval{20};
constexpr int BrokenOffStatus = 3;
constexpr int AdministrationFailedStatus = 1;

PeerOptions peerOptions(const Settings &settings)
{
    PeerOptions options;
    options.limits = settings.limits;
    if (settings.tls) {
        options.tls = std::make_shared<TlsContext>(
            TlsFiles{.certificate = settings.tls->certificateFile, .key = settings.tls->keyFile, .authority = settings.tls->authorityFile});
    }
    return options;
}

std::string text(const Tcp::endpoint &endpoint)
{
    std::ostringstream stream;
    stream << endpoint;
    return stream.str();
}

} // namespace

class Daemon::Private
{
public:
    Private(const Settings &nodeSettings, EventLog &eventLog)
        : settings(nodeSettings)
        , log(eventLog)
        , context(static_cast<int>(settings.workers))
        , peers(peerOptions(settings))
        , shell(context, settings, peers, log)
        , callerServer(context, shell.callerHandler(), settings.limits)
        , localServer(context, shell.localHandler(), settings.limits)
        , peerServer(context, shell.peerHandler(), peers)
        , loadPoller(context, settings.server, shell.core())
        , signals(context, SIGTERM, SIGINT)
        , tick(context, TickInterval, [this] { shell.core().post(Tick{}); })
        , sweep(context, SweepInterval, [this] { shell.sweepDeadlines(); })
        , drainCheck(context, DrainCheckInterval, [this] { checkDrain(); })
        , administration(
              settings, shell, [this] { asio::post(context, [this] { drainInPlace(); }); },
              [this] { asio::post(context, [this] { shell.core().post(UndrainRequested{}); }); })
    {
    }

    void waitForSignal()
    {
        signals.async_wait([this](const ErrorCode &error, int) {
            if (error) {
                return;
            }
            if (draining) {
                finish(BrokenOffStatus);
                return;
            }
            startDrain();
            waitForSignal();
        });
    }

    // Tells the core and the other nodes first. The listeners go on for the grace time, so that callers and nodes that have not learnt of
    // it yet still get answers; each answer to a caller closes its connection.
    void startDrain()
    {
        draining = true;
        drainStarted = std::chrono::steady_clock::now();
        log.write(EventNumber::DrainStarted, {"signal"});
        callerServer.closeAfterAnswers();
        shell.core().post(DrainRequested{});
        drainCheck.start();
    }

    // A drain that an operator asks for keeps the process and its listeners, so that it can be taken back.
    void drainInPlace()
    {
        log.write(EventNumber::DrainStarted, {"operator"});
        shell.core().post(DrainRequested{});
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

    void checkDrain()
    {
        const auto elapsed = std::chrono::steady_clock::now() - drainStarted;
        if (elapsed >= settings.drainBound) {
            finish(BrokenOffStatus);
            return;
        }
        if (elapsed >= settings.drainGrace && !listenersStopped) {
            listenersStopped = true;
            callerServer.stop();
            peerServer.stop();
        }
        if (!listenersStopped || !shell.isDrained() || shell.hasOpenCalls()) {
            return;
        }
        localServer.stop();
        // Connections close themselves after their last answer is written.
        if (callerServer.connectionCount() == 0 && peerServer.sessionCount() == 0) {
            finish(0);
        }
    }

    void finish(int status)
    {
        if (finished.exchange(true)) {
            return;
        }
        exitStatus = status;
        if (status == 0) {
            const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now() - drainStarted);
            log.write(EventNumber::DrainFinished, {std::string(), std::to_string(seconds.count())});
        }
        tick.stop();
        sweep.stop();
        loadPoller.stop();
        if (adminServer) {
            adminServer->stop();
        }
        shell.stop();
        context.stop();
    }

    int run()
    {
        callerServer.listen(settings.callers);
        localServer.listen(settings.local);
        peerServer.listen(settings.peers);
        if (!startAdministration()) {
            return AdministrationFailedStatus;
        }
        waitForSignal();
        shell.start();
        tick.start();
        sweep.start();
        loadPoller.start();
        log.write(EventNumber::NodeStarted,
                  {settings.name.value(), std::to_string(settings.incarnation), settings.service.value(), settings.domain.value(),
                   text(settings.peers), WISTERIAFORK_VERSION});
        std::vector<std::thread> workers;
        for (unsigned i = 1; i < settings.workers; ++i) {
            workers.emplace_back([this] { context.run(); });
        }
        context.run();
        for (std::thread &worker : workers) {
            worker.join();
        }
        log.write(EventNumber::NodeStopped, {exitStatus == 0 ? "planned stop" : "planned stop broken off"});
        return exitStatus;
    }

    const Settings &settings;
    EventLog &log;
    asio::io_context context;
    const PeerOptions peers;
    NodeShell shell;
    HttpServer callerServer;
    HttpServer localServer;
    PeerServer peerServer;
    ServerLoadPoller loadPoller;
    asio::signal_set signals;
    RepeatingTimer tick;
    RepeatingTimer sweep;
    RepeatingTimer drainCheck;
    Administration administration;
    std::unique_ptr<AdminServer> adminServer;
    std::chrono::steady_clock::time_point drainStarted;
    bool draining = false;
    bool listenersStopped = false;
    std::atomic<bool> finished = false;
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
