#include "daemon/settings.h"

#include "admin/adminsettings.h"
#include "core/config/objectreader.h"
#include "core/config/publishedconfiguration.h"

#include <fstream>
#include <functional>
#include <iterator>

namespace wisteriafork {

namespace {

constexpr std::size_t MaxSettingsBytes = std::size_t{1024} * 1024;
constexpr std::uint64_t MaxMilliseconds = 24ULL * 3600 * 1000;
constexpr std::uint64_t MaxWorkers = 64;
constexpr std::uint64_t MaxConnections = 65536;
constexpr std::uint64_t MaxBodyBytes = 64ULL * 1024 * 1024;
constexpr std::uint64_t MaxHeaderBytes = 256ULL * 1024;

std::optional<std::string> readFile(const std::string &name)
{
    std::ifstream stream(name, std::ios::binary);
    if (!stream) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(stream), {});
}

// Reads the sections of one settings document.
class SettingsReader
{
public:
    SettingsReader(const LocatedJson &document, const std::string &directory) : m_document(document), m_directory(directory)
    {
    }

    Checked<Settings> read()
    {
        ObjectReader root(m_document, m_document.value, "", m_findings);
        section(root, "node", true, [this](ObjectReader &reader) { readNode(reader); });
        section(root, "listen", true, [this](ObjectReader &reader) { readListen(reader); });
        section(root, "server", true, [this](ObjectReader &reader) { readServer(reader); });
        section(root, "platform", false, [this](ObjectReader &reader) { m_settings.platform = address(reader, "address"); });
        section(root, "limits", false, [this](ObjectReader &reader) { readLimits(reader); });
        section(root, "drain", false, [this](ObjectReader &reader) { readDrain(reader); });
        section(root, "log", false, [this](ObjectReader &reader) { readLog(reader); });
        readTransport(root);
        readConfiguration(root);
        m_settings.workers = static_cast<unsigned>(root.integer("workers", 1, MaxWorkers, m_settings.workers));
        for (std::string &service : root.texts("services", false)) {
            m_settings.services.emplace_back(std::move(service));
        }
        m_settings.seeds = root.texts("seeds", false);
        if (const nlohmann::json *administration = root.member("administration")) {
            m_settings.administration
                = readAdminOptions(m_document, *administration, root.pointerTo("administration"), m_directory, m_findings);
        }
        root.elements("hosts", false, [this](const nlohmann::json &value, const std::string &pointer) { readHosts(value, pointer); });
        root.reportUnknownMembers();
        if (hasErrors(m_findings)) {
            sortFindings(m_findings);
            return tl::unexpected(m_findings);
        }
        return std::move(m_settings);
    }

private:
    void section(ObjectReader &parent, std::string_view name, bool required, const std::function<void(ObjectReader &)> &read)
    {
        const nlohmann::json *value = parent.member(name);
        if (value == nullptr) {
            if (required) {
                parent.error(name, "member \"" + std::string(name) + "\" is missing");
            }
            return;
        }
        ObjectReader reader(m_document, *value, parent.pointerTo(name), m_findings);
        if (value->is_object()) {
            read(reader);
            reader.reportUnknownMembers();
        }
    }

    Tcp::endpoint address(ObjectReader &reader, std::string_view name)
    {
        const bool present = reader.has(name);
        const std::string text = reader.text(name);
        const std::optional<Tcp::endpoint> endpoint = parseEndpoint(text);
        if (!endpoint && present && !text.empty()) {
            reader.error(name, "expected an IP address with a port such as \"127.0.0.1:7101\", found \"" + text + "\"");
        }
        return endpoint.value_or(Tcp::endpoint());
    }

    static std::chrono::milliseconds milliseconds(ObjectReader &reader, std::string_view name, std::chrono::milliseconds fallback)
    {
        const std::uint64_t value = reader.integer(name, 1, MaxMilliseconds, static_cast<std::uint64_t>(fallback.count()));
        return std::chrono::milliseconds(value);
    }

    std::string fileName(ObjectReader &reader, std::string_view name)
    {
        const std::string file = reader.text(name);
        const bool absolute = file.starts_with('/') || m_directory.empty();
        return file.empty() || absolute ? file : m_directory + "/" + file;
    }

    void readNode(ObjectReader &reader)
    {
        m_settings.name = NodeId(reader.text("name"));
        m_settings.service = ServiceId(reader.text("service"));
        m_settings.domain = DomainId(reader.text("domain"));
        m_settings.incarnation = reader.integer("incarnation", 0, std::numeric_limits<std::int64_t>::max(), 0);
    }

    void readListen(ObjectReader &reader)
    {
        m_settings.callers = address(reader, "callers");
        m_settings.local = address(reader, "local");
        m_settings.peers = address(reader, "peers");
        if (m_settings.local != Tcp::endpoint() && !m_settings.local.address().is_loopback()) {
            reader.error("local", "expected a loopback address, because calls on this port count as internal");
        }
    }

    void readServer(ObjectReader &reader)
    {
        ServerSettings &server = m_settings.server;
        server.address = address(reader, "address");
        server.connections = reader.integer("connections", 1, MaxConnections, server.connections);
        server.connectTimeout = milliseconds(reader, "connectMs", server.connectTimeout);
        server.idleTimeout = milliseconds(reader, "idleMs", server.idleTimeout);
        server.loadInterval = milliseconds(reader, "loadIntervalMs", server.loadInterval);
        if (reader.has("loadPath")) {
            server.loadPath = reader.text("loadPath");
            if (!server.loadPath.empty() && !server.loadPath.starts_with('/')) {
                reader.error("loadPath", "expected a path that starts with \"/\"");
            }
        }
    }

    void readLimits(ObjectReader &reader)
    {
        HttpLimits &limits = m_settings.limits;
        limits.headerBytes = reader.integer("headerBytes", 1024, MaxHeaderBytes, limits.headerBytes);
        limits.requestBodyBytes = reader.integer("requestBodyBytes", 0, MaxBodyBytes, limits.requestBodyBytes);
        limits.answerBodyBytes = reader.integer("answerBodyBytes", 0, MaxBodyBytes, limits.answerBodyBytes);
        limits.connections = reader.integer("connections", 1, MaxConnections, limits.connections);
        limits.requestTimeout = milliseconds(reader, "requestMs", limits.requestTimeout);
        limits.idleTimeout = milliseconds(reader, "idleMs", limits.idleTimeout);
        limits.writeTimeout = milliseconds(reader, "writeMs", limits.writeTimeout);
    }

    void readDrain(ObjectReader &reader)
    {
        m_settings.drainGrace = milliseconds(reader, "graceMs", m_settings.drainGrace);
        m_settings.drainBound = milliseconds(reader, "boundMs", m_settings.drainBound);
        if (m_settings.drainBound < m_settings.drainGrace) {
            reader.error("boundMs", "must not be shorter than graceMs");
        }
    }

    void readLog(ObjectReader &reader)
    {
        if (reader.has("level")) {
            m_settings.log.least
                = parseLogSeverity(reader.choice("level", {"debug", "info", "warning", "error"})).value_or(LogSeverity::Info);
        }
        if (reader.has("format")) {
            m_settings.log.format = reader.choice("format", {"json", "keyValue"}) == "keyValue" ? LogFormat::KeyValue : LogFormat::Json;
        }
        if (reader.has("decisions")) {
            m_settings.log.decisions = reader.boolean("decisions");
        }
        if (reader.has("file")) {
            m_settings.logFile = fileName(reader, "file");
        }
    }

    void readTransport(ObjectReader &root)
    {
        const bool plaintext = root.has("plaintext") && root.boolean("plaintext");
        section(root, "tls", false, [this](ObjectReader &reader) {
            m_settings.tls = TlsSettings{.certificateFile = fileName(reader, "certificate"),
                                         .keyFile = fileName(reader, "key"),
                                         .authorityFile = fileName(reader, "authority")};
        });
        if (plaintext && root.has("tls")) {
            root.error("plaintext", "plain text and \"tls\" exclude each other");
        } else if (!plaintext && !root.has("tls")) {
            root.error("tls", "member \"tls\" is missing; sessions between nodes are plain text only with \"plaintext\": true");
        }
    }

    void readConfiguration(ObjectReader &root)
    {
        if (!root.has("configurationFile")) {
            return;
        }
        const std::string name = fileName(root, "configurationFile");
        const std::optional<std::string> text = name.empty() ? std::nullopt : readFile(name);
        if (!text) {
            root.error("configurationFile", "the file cannot be read");
            return;
        }
        const Checked<PublishedConfiguration> published = parsePublished(*text);
        Checked<Configuration> configuration = published ? readPublished(*published) : tl::unexpected(published.error());
        if (configuration) {
            m_settings.configuration = std::move(*configuration);
            return;
        }
        for (const Finding &finding : configuration.error()) {
            root.error("configurationFile", describeFinding(finding));
        }
    }

    void readHosts(const nlohmann::json &value, const std::string &pointer)
    {
        ObjectReader reader(m_document, value, pointer, m_findings);
        HostList list;
        list.service = ServiceId(reader.text("service"));
        list.version = reader.integer("version", 1, std::numeric_limits<std::int64_t>::max());
        reader.elements("members", true, [&](const nlohmann::json &member, const std::string &memberPointer) {
            ObjectReader memberReader(m_document, member, memberPointer, m_findings);
            list.members.push_back(readMember(memberReader));
            memberReader.reportUnknownMembers();
        });
        reader.reportUnknownMembers();
        m_settings.hosts.push_back(std::move(list));
    }

    MemberInfo readMember(ObjectReader &reader)
    {
        MemberInfo member;
        member.name = NodeId(reader.text("name"));
        member.incarnation = reader.integer("incarnation", 0, std::numeric_limits<std::int64_t>::max());
        member.service = ServiceId(reader.text("service"));
        member.domain = DomainId(reader.text("domain"));
        member.peerAddress = reader.text("address");
        member.state = reader.choice("state", {"live", "leaving"}) == "leaving" ? ListedState::Leaving : ListedState::Live;
        return member;
    }

    const LocatedJson &m_document;
    const std::string &m_directory;
    Settings m_settings;
    Findings m_findings;
};

} // namespace

Checked<Settings> parseSettings(std::string_view text, const std::string &directory)
{
    const Checked<LocatedJson> document = parseLocatedJson(text, MaxSettingsBytes);
    if (!document) {
        return tl::unexpected(document.error());
    }
    return SettingsReader(*document, directory).read();
}

} // namespace wisteriafork
