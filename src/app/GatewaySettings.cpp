#include "app/GatewaySettings.h"

#include "core/documents/JsonReader.h"
#include "platform/Guarantees.h"

#include <boost/leaf/error.hpp>

namespace greengagestair {

using boost::leaf::result;

static constexpr std::size_t kMaxEndpointLength = 64;
static constexpr std::size_t kMaxSeeds = 64;
static constexpr double kMinTimeMs = 100;
static constexpr double kMaxTimeMs = 600'000;
static constexpr double kMaxRatio = 1;
static constexpr double kMaxCount = 1'000'000;
static constexpr std::size_t kMaxRules = 64;
static constexpr double kMinMemoryMb = 16;
static constexpr double kBytesPerMb = 1'048'576;
static constexpr std::uint64_t kMinDescriptors = 64;
static constexpr std::uint64_t kMaxDescriptors = 1'048'576;

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

static std::optional<QuotaOptions> quotaOf(const JsonReader &reader)
{
    if (!reader.has("quota"))
        return std::nullopt;
    const JsonReader quota = reader.object("quota");
    quota.rejectUnknownKeys({ "windowMs", "overage", "slack" });
    QuotaOptions options;
    options.window = timeOf(quota, "windowMs");
    options.overage = quota.decimal("overage", 0, kMaxRatio);
    options.slack = quota.decimal("slack", 0, kMaxCount);
    return options;
}

static std::optional<RolloutOptions> rolloutOf(const JsonReader &reader)
{
    if (!reader.has("rollout"))
        return std::nullopt;
    const JsonReader rollout = reader.object("rollout");
    rollout.rejectUnknownKeys({ "exposedShare", "exposedSlack", "rollbackMs" });
    RolloutOptions options;
    options.exposedShare = rollout.decimal("exposedShare", 0, kMaxRatio);
    options.exposedSlack = rollout.decimal("exposedSlack", 0, kMaxCount);
    options.rollbackTime = timeOf(rollout, "rollbackMs");
    return options;
}

/** Reads the keys that a settings file may leave out. */
static void readOptionalKeys(const JsonReader &reader, GatewaySettings &settings)
{
    settings.options.quota = quotaOf(reader);
    settings.options.rollout = rolloutOf(reader);
    std::vector<std::string> rules;
    if (reader.has("rules")) {
        for (const JsonReader &rule : reader.list("rules", kMaxRules))
            rules.push_back(rule.asName());
    }
    platform::enableFeatures(rules, settings.options);
    if (reader.has("sharesObservations"))
        settings.options.sharesObservations = reader.boolean("sharesObservations");
    if (reader.has("pacesReturningServers"))
        settings.options.pacesReturningServers = reader.boolean("pacesReturningServers");
    if (reader.has("memoryMb")) {
        const double megabytes = reader.decimal("memoryMb", kMinMemoryMb, kMaxCount);
        settings.memoryBytes = static_cast<std::uint64_t>(megabytes * kBytesPerMb);
    }
    if (reader.has("maxDescriptors"))
        settings.maxDescriptors = reader.number("maxDescriptors", kMinDescriptors, kMaxDescriptors);
}

result<GatewaySettings> parseGatewaySettings(std::string_view text, const std::string &file)
{
    BOOST_LEAF_AUTO(json, parseSettingsJson(text, file));
    FaultRecorder faults;
    const JsonReader reader(json, "$", faults);
    reader.rejectUnknownKeys({ "host",
                               "failureDomain",
                               "callerEndpoint",
                               "readinessEndpoint",
                               "adminEndpoint",
                               "peerEndpoint",
                               "store",
                               "linkMbps",
                               "seeds",
                               "stopTimeoutMs",
                               "repeatRatio",
                               "repeatWindowMs",
                               "repeatSlack",
                               "coldFactor",
                               "coldSlack",
                               "rules",
                               "quota",
                               "rollout",
                               "sharesObservations",
                               "pacesReturningServers",
                               "memoryMb",
                               "maxDescriptors" });
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
    readOptionalKeys(reader, settings);
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
