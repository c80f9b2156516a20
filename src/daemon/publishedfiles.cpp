#include "daemon/publishedfiles.h"

#include "core/config/configurationdocument.h"
#include "core/config/routes.h"
#include "daemon/instancelist.h"

#include <fstream>
#include <iterator>

namespace wisteriafork {

namespace {

// A change must be in force on all nodes within 5 s, and the distribution of the files takes most of that time.
constexpr std::chrono::milliseconds PollInterval{500};

std::string describeFindings(const Findings &findings)
{
    std::string text;
    for (const Finding &finding : findings) {
        text += (text.empty() ? "" : "; ") + describeFinding(finding);
    }
    return text;
}

} // namespace

PublishedFiles::PublishedFiles(asio::io_context &context, Relay &relay, EventLog &log, std::string configurationFile,
                               std::string instancesFile)
    : m_relay(relay)
    , m_log(log)
    , m_configurationFile{.name = std::move(configurationFile)}
    , m_instancesFile{.name = std::move(instancesFile)}
    , m_timer(context, PollInterval, [this] { poll(); })
{
}

void PublishedFiles::start()
{
    poll();
    m_timer.start();
}

void PublishedFiles::reload()
{
    m_configurationFile.modifiedAt.reset();
    m_instancesFile.modifiedAt.reset();
    poll();
}

void PublishedFiles::stop()
{
    m_timer.stop();
}

void PublishedFiles::applyPeerSnapshot(const std::string &peerAddress, const std::string &text)
{
    if (applyConfiguration(peerAddress, text)) {
        m_log.write(EventNumber::PeerStateRead, {peerAddress, "1"});
    }
}

std::optional<std::string> PublishedFiles::readIfChanged(WatchedFile &file)
{
    std::error_code error;
    const auto modifiedAt = std::filesystem::last_write_time(file.name, error);
    if (!error && file.modifiedAt == modifiedAt) {
        return std::nullopt;
    }
    std::ifstream stream(file.name, std::ios::binary);
    if (error || !stream) {
        if (!std::exchange(file.unreadable, true)) {
            m_log.write(EventNumber::SourceLost, {file.name + " cannot be read"});
        }
        return std::nullopt;
    }
    file.modifiedAt = modifiedAt;
    if (std::exchange(file.unreadable, false)) {
        m_log.write(EventNumber::SourceRestored, {});
    }
    return std::string(std::istreambuf_iterator<char>(stream), {});
}

void PublishedFiles::poll()
{
    if (const auto text = readIfChanged(m_configurationFile)) {
        applyConfiguration(m_configurationFile.name, *text);
    }
    if (const auto text = readIfChanged(m_instancesFile)) {
        applyInstances(*text);
    }
}

bool PublishedFiles::applyConfiguration(const std::string &source, const std::string &text)
{
    ValueOrFindings<Configuration> configuration = parseConfiguration(text);
    if (!configuration) {
        m_log.write(EventNumber::PublishedValueRejected, {source, describeFindings(configuration.error())});
        return false;
    }
    if (!m_relay.node().applyRoutes(routesOf(*configuration))) {
        return false;
    }
    m_configurationText = text;
    m_configuration = std::move(*configuration);
    return true;
}

void PublishedFiles::applyInstances(const std::string &text)
{
    ValueOrFindings<std::vector<Instance>> instances = parseInstanceList(text);
    if (instances) {
        m_relay.node().replaceInstances(std::move(*instances));
    } else {
        m_log.write(EventNumber::PublishedValueRejected, {m_instancesFile.name, describeFindings(instances.error())});
    }
}

} // namespace wisteriafork
