#include "daemon/settings.h"

#include "admin/adminsettings.h"
#include "core/config/objectreader.h"
#include "daemon/defaultheadernames.h"
#include "net/endpoint.h"

#include <functional>

namespace wisteriafork {

namespace {

constexpr std::size_t MaxSettingsBytes = std::size_t{1024} * 1024;
// A planned stop that takes longer does not count as orderly any more.
constexpr std::uint64_t MaxStopGraceMs = 10ULL * 60 * 1000;
// The steps of a planned stop take 3 s even without requests in flight, see Relay.
constexpr std::uint64_t MinStopGraceMs = 4000;

// Reads the sections of one settings document.
class SettingsReader
{
public:
    SettingsReader(const LocatedJson &document, const std::string &directory) : m_document(document), m_directory(directory)
    {
        m_settings.relay.headers = defaultHeaderNames();
        m_settings.relay.serverEchoesIds = false;
    }

    ValueOrFindings<Settings> readSettings()
    {
        ObjectReader root(m_document, m_document.value, "", m_findings);
        readSection(root, "node", true, [this](ObjectReader &reader) { readNode(reader); });
        readSection(root, "listen", true, [this](ObjectReader &reader) { readListen(reader); });
        readSection(root, "server", true, [this](ObjectReader &reader) { readServer(reader); });
        readSection(root, "stop", false, [this](ObjectReader &reader) { readStop(reader); });
        readSection(root, "log", false, [this](ObjectReader &reader) { readLog(reader); });
        m_settings.configurationFile = readFileName(root, "configuration");
        m_settings.instancesFile = readFileName(root, "instances");
        readTransport(root);
        if (const nlohmann::json *administration = root.member("administration")) {
            m_settings.administration
                = readAdminOptions(m_document, *administration, root.pointerTo("administration"), m_directory, m_findings);
        }
        root.reportUnknownMembers();
        if (hasErrors(m_findings)) {
            sortFindings(m_findings);
            return tl::unexpected(m_findings);
        }
        return std::move(m_settings);
    }

private:
    // Reads the object `name` of `parent` with `readMembers` and reports its unknown members. A section that is missing is an error if it
    // is required.
    void readSection(ObjectReader &parent, std::string_view name, bool required, const std::function<void(ObjectReader &)> &readMembers)
    {
        const nlohmann::json *value = parent.member(name);
        if (value == nullptr) {
            if (required) {
                parent.reportError(name, "member \"" + std::string(name) + "\" is missing");
            }
            return;
        }
        ObjectReader reader(m_document, *value, parent.pointerTo(name), m_findings);
        if (value->is_object()) {
            readMembers(reader);
            reader.reportUnknownMembers();
        }
    }

    static Tcp::endpoint readEndpoint(ObjectReader &reader, std::string_view name)
    {
        const bool present = reader.has(name);
        const std::string text = reader.text(name);
        const std::optional<Tcp::endpoint> endpoint = parseEndpoint(text);
        if (!endpoint && present && !text.empty()) {
            reader.reportError(name, "expected an IP address with a port such as \"127.0.0.1:7101\", found \"" + text + "\"");
        }
        return endpoint.value_or(Tcp::endpoint());
    }

    // Returns a file name from the settings, resolved against the directory of the settings file; empty if the member is missing.
    std::string readFileName(ObjectReader &reader, std::string_view name)
    {
        const std::string file = reader.text(name);
        const bool absolute = file.starts_with('/') || m_directory.empty();
        return file.empty() || absolute ? file : m_directory + "/" + file;
    }

    void readNode(ObjectReader &reader)
    {
        m_settings.relay.node = reader.text("name");
        m_settings.relay.service = ServiceId(reader.text("service"));
        m_settings.relay.domain = DomainId(reader.text("domain"));
    }

    void readListen(ObjectReader &reader)
    {
        m_settings.relay.callerEndpoint = readEndpoint(reader, "callers");
        m_settings.relay.peerEndpoint = readEndpoint(reader, "peers");
        m_settings.relay.readinessEndpoint = readEndpoint(reader, "readiness");
        if (reader.has("metrics")) {
            m_settings.relay.metricsEndpoint = readEndpoint(reader, "metrics");
        }
    }

    void readServer(ObjectReader &reader)
    {
        m_settings.relay.serverEndpoint = readEndpoint(reader, "address");
        if (reader.has("echoesRequestId")) {
            m_settings.relay.serverEchoesIds = reader.boolean("echoesRequestId");
        }
    }

    void readStop(ObjectReader &reader)
    {
        const auto fallback = static_cast<std::uint64_t>(m_settings.relay.stop.gracePeriod.count());
        m_settings.relay.stop
            = StopOptions::within(std::chrono::milliseconds(reader.integer("graceMs", MinStopGraceMs, MaxStopGraceMs, fallback)));
    }

    void readLog(ObjectReader &reader)
    {
        if (reader.has("level")) {
            m_settings.log.minimumSeverity
                = parseLogSeverity(reader.choice("level", {"debug", "info", "warning", "error"})).value_or(LogSeverity::Info);
        }
        if (reader.has("format")) {
            m_settings.log.format = reader.choice("format", {"json", "keyValue"}) == "keyValue" ? LogFormat::KeyValue : LogFormat::Json;
        }
        if (reader.has("file")) {
            m_settings.logFile = readFileName(reader, "file");
        }
    }

    void readTransport(ObjectReader &root)
    {
        const bool plaintext = root.has("plaintext") && root.boolean("plaintext");
        readSection(root, "tls", false, [this](ObjectReader &reader) {
            m_settings.tls = TlsSettings{.certificateFile = readFileName(reader, "certificate"),
                                         .keyFile = readFileName(reader, "key"),
                                         .authorityFile = readFileName(reader, "authority")};
        });
        if (plaintext && root.has("tls")) {
            root.reportError("plaintext", "plain text and \"tls\" exclude each other");
        } else if (!plaintext && !root.has("tls")) {
            root.reportError("tls", "member \"tls\" is missing; sessions between nodes are plain text only with \"plaintext\": true");
        }
    }

    const LocatedJson &m_document;
    const std::string &m_directory;
    Settings m_settings;
    Findings m_findings;
};

} // namespace

ValueOrFindings<Settings> parseSettings(std::string_view text, const std::string &directory)
{
    const ValueOrFindings<LocatedJson> document = parseLocatedJson(text, MaxSettingsBytes);
    if (!document) {
        return tl::unexpected(document.error());
    }
    return SettingsReader(*document, directory).readSettings();
}

} // namespace wisteriafork
