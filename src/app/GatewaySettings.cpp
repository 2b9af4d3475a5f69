#include "app/GatewaySettings.h"

#include "core/documents/JsonReader.h"

#include <boost/leaf/error.hpp>

namespace greengagestair {

using boost::leaf::result;

static constexpr std::size_t kMaxEndpointLength = 64;
static constexpr std::size_t kMaxSeeds = 64;
static constexpr double kMinTimeMs = 100;
static constexpr double kMaxTimeMs = 600'000;
static constexpr double kMaxRatio = 1;
static constexpr double kMaxCount = 1'000'000;

static constexpr const char *kEndpointForm = "an address such as 127.0.0.1:8080";

static Endpoint endpointOf(const JsonReader &reader, std::string_view key)
{
    const auto endpoint = parseEndpoint(reader.text(key, kMaxEndpointLength));
    if (endpoint)
        return *endpoint;
    reader.fault(DocumentErrorKind::BadText, key, kEndpointForm);
    return {};
}

static std::vector<Endpoint> endpointsOf(const JsonReader &reader, std::string_view key)
{
    std::vector<Endpoint> endpoints;
    for (const JsonReader &element : reader.list(key, kMaxSeeds)) {
        const auto endpoint = parseEndpoint(element.asText(kMaxEndpointLength));
        if (endpoint)
            endpoints.push_back(*endpoint);
        else
            element.fault(DocumentErrorKind::BadText, kEndpointForm);
    }
    return endpoints;
}

/** A time in milliseconds, which may be a fraction. */
static Duration timeOf(const JsonReader &reader, std::string_view key)
{
    const double count = reader.decimal(key, kMinTimeMs, kMaxTimeMs);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(count));
}

static RepeatLimits repeatLimitsOf(const JsonReader &reader)
{
    RepeatLimits limits;
    limits.ratio = reader.decimal("repeatRatio", 0, kMaxRatio);
    limits.window = timeOf(reader, "repeatWindowMs");
    limits.slack = reader.decimal("repeatSlack", 0, kMaxCount);
    return limits;
}

result<GatewaySettings> parseGatewaySettings(std::string_view text, const std::string &file)
{
    BOOST_LEAF_AUTO(json, parseSettingsJson(text, file));
    FaultRecorder faults;
    const JsonReader reader(json, "$", faults);
    reader.rejectUnknownKeys({ "host", "failureDomain", "callerEndpoint", "readinessEndpoint",
                               "adminEndpoint", "peerEndpoint", "store", "linkMbps", "seeds",
                               "stopTimeoutMs", "repeatRatio", "repeatWindowMs", "repeatSlack",
                               "coldFactor", "coldSlack" });
    GatewaySettings settings;
    settings.host.value = reader.name("host");
    settings.callerEndpoint = endpointOf(reader, "callerEndpoint");
    settings.readinessEndpoint = endpointOf(reader, "readinessEndpoint");
    settings.adminEndpoint = endpointOf(reader, "adminEndpoint");
    settings.peerEndpoint = endpointOf(reader, "peerEndpoint");
    settings.store = endpointOf(reader, "store");
    settings.linkMbps = reader.decimal("linkMbps", 0, kMaxCount);
    settings.seeds = endpointsOf(reader, "seeds");
    settings.stopTimeout = timeOf(reader, "stopTimeoutMs");
    settings.options.selector.host = settings.host;
    settings.options.selector.failureDomain.value = reader.name("failureDomain");
    settings.options.selector.coldFactor = reader.decimal("coldFactor", 0, kMaxCount);
    settings.options.selector.coldSlack = reader.decimal("coldSlack", 0, kMaxCount);
    settings.options.repeats = repeatLimitsOf(reader);
    if (const auto &fault = faults.first())
        return boost::leaf::new_error(SettingsProblem { file, fault->path, fault->expected });
    return settings;
}

result<GatewaySettings> readGatewaySettings(const std::string &file)
{
    BOOST_LEAF_AUTO(text, readFile(file));
    return parseGatewaySettings(text, file);
}

} // namespace greengagestair
