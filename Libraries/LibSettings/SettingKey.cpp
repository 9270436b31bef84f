#include <LibSettings/SettingKey.h>

#include <LibCore/TextValues.h>

#include <boost/asio/ip/address.hpp>

#include <cstddef>
#include <optional>

namespace Settings {

static constexpr std::int64_t maxPort = 65'535;
static constexpr std::int64_t maxBodyBytes = 64 * 1024 * 1024;

namespace {

using Store = std::function<bool(std::string_view, Settings &)>;

bool isAddress(std::string_view text)
{
    boost::system::error_code error;
    boost::asio::ip::make_address(std::string(text), error);
    return !error;
}

template<typename Id>
Store storeName(Id Settings::*member)
{
    return [member](std::string_view text, Settings &settings) {
        settings.*member = Id(std::string(text));
        return Core::isName(text);
    };
}

Store storeAddress(std::string Settings::*member)
{
    return [member](std::string_view text, Settings &settings) {
        settings.*member = std::string(text);
        return isAddress(text);
    };
}

std::optional<std::uint16_t> parsePort(std::string_view text)
{
    const auto port = Core::parseNumber(text, 1, maxPort);
    if (!port)
        return std::nullopt;
    return static_cast<std::uint16_t>(*port);
}

Store storePort(std::uint16_t Settings::*member)
{
    return [member](std::string_view text, Settings &settings) {
        const auto port = parsePort(text);
        settings.*member = port.value_or(0);
        return port.has_value();
    };
}

Store storeDuration(Core::Duration Settings::*member, Core::Duration minimum,
                    Core::Duration maximum)
{
    return [=](std::string_view text, Settings &settings) {
        const auto duration = Core::parseDuration(text);
        if (!duration || *duration < minimum || *duration > maximum)
            return false;
        settings.*member = *duration;
        return true;
    };
}

bool storeBodyBytes(std::string_view text, Settings &settings)
{
    const auto bytes = Core::parseNumber(text, 1, maxBodyBytes);
    settings.largestBodyBytes = bytes.value_or(0);
    return bytes.has_value();
}

bool storeLogLevel(std::string_view text, Settings &settings)
{
    settings.logLevel = std::string(text);
    return text == "debug" || text == "info" || text == "warn" || text == "error";
}

std::vector<std::string> split(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (begin <= text.size()) {
        const std::size_t end = std::min(text.find(separator, begin), text.size());
        parts.emplace_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return parts;
}

std::optional<KnownPeer> parseKnownPeer(const std::string &text)
{
    const std::vector<std::string> parts = split(text, '@');
    if (parts.size() != 3 || !Core::isName(parts[0]) || !Core::isName(parts[1]))
        return std::nullopt;
    const std::vector<std::string> endpoint = split(parts[2], ':');
    if (endpoint.size() != 3 || !isAddress(endpoint[0]))
        return std::nullopt;
    const auto peerPort = parsePort(endpoint[1]);
    const auto callerPort = parsePort(endpoint[2]);
    if (!peerPort || !callerPort)
        return std::nullopt;
    return KnownPeer { Core::VmId(parts[0]), Core::FailureDomainId(parts[1]), endpoint[0],
                       *peerPort, *callerPort };
}

bool storeKnownPeers(std::string_view text, Settings &settings)
{
    settings.knownPeers.clear();
    if (text.empty())
        return true;
    for (const std::string &part : split(text, ',')) {
        const auto peer = parseKnownPeer(part);
        if (!peer)
            return false;
        settings.knownPeers.push_back(*peer);
    }
    return true;
}

std::vector<SettingKey> makeKeys()
{
    using namespace std::chrono_literals;
    const std::string name = "letters, digits, '-', '_' and '.', at most 64";
    const std::string port = "1 to 65535";
    return {
        { "vm", "id", "", false, name, "The name of this VM in the platform's list.",
          storeName(&Settings::vmId) },
        { "vm", "failure-domain", "", false, name, "The failure domain that this VM is in.",
          storeName(&Settings::failureDomain) },
        { "vm", "address", "", false, "an IP address", "The address to listen on.",
          storeAddress(&Settings::address) },
        { "door", "port", "", false, port, "The port for callers, the balancer and operators.",
          storePort(&Settings::callerPort) },
        { "peers", "port", "", false, port, "The port for the other entry VMs.",
          storePort(&Settings::peerPort) },
        { "peers", "known", "", true, "ID@DOMAIN@ADDRESS:PEERPORT:CALLERPORT, separated by commas",
          "Entry VMs to try before the platform's list has been read.", storeKnownPeers },
        { "platform", "address", "", false, "an IP address", "The platform's address.",
          storeAddress(&Settings::platformAddress) },
        { "platform", "port", "", false, port, "The platform's port.",
          storePort(&Settings::platformPort) },
        { "requests", "default-deadline", "30s", false, "1ms to 10m",
          "How long a request may take if its caller sets no deadline.",
          storeDuration(&Settings::defaultDeadline, 1ms, 10min) },
        { "requests", "drain-time", "30s", false, "0s to 10m",
          "How long requests in progress may take to finish when the daemon is stopped.",
          storeDuration(&Settings::drainTime, 0s, 10min) },
        { "requests", "largest-body", "8388608", false, "1 to 67108864",
          "The largest request or answer body, in bytes.", storeBodyBytes },
        { "requests", "key-lifetime", "10m", false, "10s to 24h",
          "How long a caller's key is kept; callers must not repeat a request later.",
          storeDuration(&Settings::keyLifetime, 10s, 24h) },
        { "rules", "freshness", "2s", false, "500ms to 2500ms",
          "No task starts if the end of the rules' stream was read longer ago than this.",
          storeDuration(&Settings::rulesFreshness, 500ms, 2500ms) },
        { "log", "poll-interval", "500ms", false, "50ms to 1s",
          "How often the streams of the platform's log are read.",
          storeDuration(&Settings::pollInterval, 50ms, 1s) },
        { "log", "snapshot-age", "1h", false, "1s to 24h",
          "The maximum age of a snapshot; must be well below the log's retention.",
          storeDuration(&Settings::snapshotAge, 1s, 24h) },
        { "log", "silence-bound", "10m", false, "10s to 24h",
          "How long a placer continues without having read to the end of its stream.",
          storeDuration(&Settings::logSilenceBound, 10s, 24h) },
        { "lease", "length", "1500ms", false, "200ms to 10s",
          "How long a promise to the placer lasts.",
          storeDuration(&Settings::leaseLength, 200ms, 10s) },
        { "tasks", "lease", "30s", false, "2s to 10m",
          "How long a worker continues a task whose lease isn't renewed.",
          storeDuration(&Settings::taskLeaseLength, 2s, 10min) },
        { "logging", "level", "info", false, "debug, info, warn, error",
          "The minimum level of the log lines that are written.", storeLogLevel },
    };
}

} // namespace

const std::vector<SettingKey> &settingKeys()
{
    static const std::vector<SettingKey> keys = makeKeys();
    return keys;
}

} // namespace Settings
