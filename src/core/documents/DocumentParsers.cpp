#include "core/documents/DocumentParsers.h"

#include "core/documents/JsonReader.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/leaf/error.hpp>

#include <array>
#include <charconv>
#include <cstdio>
#include <unordered_set>

namespace greengagestair {

namespace json = boost::json;

static constexpr std::size_t kMaxEntries = 100'000;
static constexpr std::size_t kMaxRecentChangeIds = 32;
static constexpr std::size_t kMaxChangeIdBytes = 128;
static constexpr std::size_t kMaxKeyBytes = 1024;
static constexpr std::uint64_t kMaxServerLimit = 10'000; ///< largest number of slots or connections
static constexpr std::uint64_t kMaxTimeMs = 600'000;
static constexpr std::uint64_t kMaxPort = 65'535;
static constexpr std::uint64_t kMaxVersion = INT64_MAX;
static constexpr std::size_t kSignatureDigits = 16;

/** Values found so far that must be unique within a document or list. */
using UniqueValues = std::unordered_set<std::string>;

static void requireUnique(const JsonReader &reader, std::string_view key, const std::string &value,
                          UniqueValues &seen)
{
    if (!seen.insert(value).second)
        reader.fault(DocumentErrorKind::Duplicate, key, "a value that no other entry has");
}

template <typename Parse>
static auto parseDocument(std::string_view text, Parse parse)
        -> boost::leaf::result<decltype(parse(std::declval<const JsonReader &>()))>
{
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    json::error_code error;
    const json::value value = json::parse(text, error, {}, options);
    if (error)
        return boost::leaf::new_error(
                DocumentError { DocumentErrorKind::Syntax, "", "valid JSON" });
    FaultRecorder faults;
    auto document = parse(JsonReader(value, "", faults));
    if (faults.first())
        return boost::leaf::new_error(*faults.first());
    return document;
}

static Endpoint parseEndpoint(const JsonReader &reader)
{
    return { reader.address("address"),
             static_cast<std::uint16_t>(reader.number("port", 1, kMaxPort)) };
}

static std::string endpointText(const Endpoint &endpoint)
{
    return endpoint.address + "|" + std::to_string(endpoint.port);
}

/** Names and endpoints found so far that must be unique within the whole configuration. */
struct ConfigurationNames
{
    UniqueValues domains;
    UniqueValues services;
    UniqueValues servers;
    UniqueValues endpoints;
};

static FailureDomain parseFailureDomain(const JsonReader &reader, ConfigurationNames &names)
{
    reader.rejectUnknownKeys({ "name", "inService" });
    FailureDomain domain;
    domain.name = { reader.name("name") };
    requireUnique(reader, "name", domain.name.value, names.domains);
    domain.inService = reader.boolean("inService");
    return domain;
}

static BackendServer parseServer(const JsonReader &reader, ConfigurationNames &names)
{
    reader.rejectUnknownKeys({ "name", "address", "port", "failureDomain", "inService" });
    BackendServer server;
    server.name = { reader.name("name") };
    requireUnique(reader, "name", server.name.value, names.servers);
    server.endpoint = parseEndpoint(reader);
    requireUnique(reader, "address", endpointText(server.endpoint), names.endpoints);
    server.failureDomain = { reader.name("failureDomain") };
    if (!names.domains.contains(server.failureDomain.value)) {
        reader.fault(DocumentErrorKind::UnknownReference, "failureDomain",
                     "the name of a declared failure domain");
    }
    server.inService = reader.boolean("inService");
    return server;
}

static Group parseGroup(const JsonReader &reader, UniqueValues &groups, ConfigurationNames &names)
{
    reader.rejectUnknownKeys({ "name", "servers" });
    Group group;
    group.name = { reader.name("name") };
    requireUnique(reader, "name", group.name.value, groups);
    for (const JsonReader &server : reader.list("servers", kMaxEntries))
        group.servers.push_back(parseServer(server, names));
    if (group.servers.empty())
        reader.fault(DocumentErrorKind::Empty, "servers", "at least one backend server");
    return group;
}

static Operation parseOperation(const JsonReader &reader, UniqueValues &operations)
{
    reader.rejectUnknownKeys({ "name", "urgent", "repeatable" });
    Operation operation;
    operation.name = { reader.name("name") };
    requireUnique(reader, "name", operation.name.value, operations);
    operation.urgent = reader.boolean("urgent");
    operation.repeatable = reader.boolean("repeatable");
    return operation;
}

static void parseLimits(const JsonReader &reader, Service &service)
{
    service.slots = static_cast<int>(reader.number("slots", 1, kMaxServerLimit));
    service.coldLimit = static_cast<int>(reader.number("coldLimit", 1, kMaxServerLimit));
    if (service.coldLimit > service.slots)
        reader.fault(DocumentErrorKind::Inconsistent, "coldLimit", "at most slots");
    service.connectionLimit =
            static_cast<int>(reader.number("connectionLimit", 1, kMaxServerLimit));
    if (service.connectionLimit < service.slots)
        reader.fault(DocumentErrorKind::Inconsistent, "connectionLimit", "at least slots");
    service.warmPartTime = reader.milliseconds("warmPartTimeMs", 1, kMaxTimeMs);
    service.maxPartTime = reader.milliseconds("maxPartTimeMs", 1, kMaxTimeMs);
    if (service.maxPartTime < service.warmPartTime)
        reader.fault(DocumentErrorKind::Inconsistent, "maxPartTimeMs", "at least warmPartTimeMs");
    service.defaultDeadline = reader.milliseconds("defaultDeadlineMs", 1, kMaxTimeMs);
    service.maxDeadline = reader.milliseconds("maxDeadlineMs", 1, kMaxTimeMs);
    if (service.maxDeadline < service.defaultDeadline)
        reader.fault(DocumentErrorKind::Inconsistent, "maxDeadlineMs",
                     "at least defaultDeadlineMs");
}

static Service parseService(const JsonReader &reader, ConfigurationNames &names)
{
    reader.rejectUnknownKeys({ "name", "route", "slots", "coldLimit", "connectionLimit",
                               "warmPartTimeMs", "maxPartTimeMs", "defaultDeadlineMs",
                               "maxDeadlineMs", "operations", "groups" });
    Service service;
    service.name = { reader.name("name") };
    requireUnique(reader, "name", service.name.value, names.services);
    service.route = reader.choice("route", { "allGroups", "oneGroup" }) == 0 ? Route::AllGroups
                                                                             : Route::OneGroup;
    parseLimits(reader, service);
    UniqueValues operations;
    for (const JsonReader &operation : reader.list("operations", kMaxEntries))
        service.operations.push_back(parseOperation(operation, operations));
    if (service.operations.empty())
        reader.fault(DocumentErrorKind::Empty, "operations", "at least one operation");
    UniqueValues groups;
    for (const JsonReader &group : reader.list("groups", kMaxEntries))
        service.groups.push_back(parseGroup(group, groups, names));
    if (service.groups.empty())
        reader.fault(DocumentErrorKind::Empty, "groups", "at least one group");
    return service;
}

static Configuration readConfiguration(const JsonReader &reader)
{
    reader.rejectUnknownKeys({ "changeId", "recentChangeIds", "failureDomains", "services" });
    Configuration configuration;
    configuration.changeId = reader.text("changeId", kMaxChangeIdBytes);
    if (configuration.changeId.empty())
        reader.fault(DocumentErrorKind::Empty, "changeId", "a change identifier");
    if (reader.has("recentChangeIds")) {
        for (const JsonReader &changeId : reader.list("recentChangeIds", kMaxRecentChangeIds))
            configuration.recentChangeIds.push_back(changeId.asText(kMaxChangeIdBytes));
    }
    ConfigurationNames names;
    for (const JsonReader &domain : reader.list("failureDomains", kMaxEntries))
        configuration.failureDomains.push_back(parseFailureDomain(domain, names));
    for (const JsonReader &service : reader.list("services", kMaxEntries))
        configuration.services.push_back(parseService(service, names));
    return configuration;
}

boost::leaf::result<Configuration> parseConfiguration(std::string_view json)
{
    return parseDocument(json, readConfiguration);
}

/** Records a fault unless the ranges cover the whole key space in order, without gap or overlap. */
static void requireContiguousRanges(const JsonReader &reader, const std::vector<KeyRange> &ranges)
{
    if (ranges.empty()) {
        reader.fault(DocumentErrorKind::Empty, "ranges", "at least one key range");
        return;
    }
    std::string next;
    for (std::size_t index = 0; index < ranges.size(); ++index) {
        const KeyRange &range = ranges[index];
        const std::string path = "ranges[" + std::to_string(index) + "]";
        const bool last = index + 1 == ranges.size();
        if (range.from != next)
            reader.fault(DocumentErrorKind::Inconsistent, path + ".from",
                         "the end of the previous range, or an empty string for the first");
        if (!last && range.to <= range.from)
            reader.fault(DocumentErrorKind::Inconsistent, path + ".to", "a key greater than from");
        if (last && !range.to.empty())
            reader.fault(DocumentErrorKind::Inconsistent, path + ".to",
                         "an empty string for the last range");
        next = range.to;
    }
}

static Snapshot parseSnapshot(const JsonReader &reader)
{
    reader.rejectUnknownKeys({ "version", "ranges" });
    Snapshot snapshot;
    snapshot.version = { reader.number("version", 1, kMaxVersion) };
    for (const JsonReader &range : reader.list("ranges", kMaxEntries)) {
        range.rejectUnknownKeys({ "from", "to", "group" });
        snapshot.ranges.push_back({ range.text("from", kMaxKeyBytes),
                                    range.text("to", kMaxKeyBytes),
                                    { range.name("group") } });
    }
    requireContiguousRanges(reader, snapshot.ranges);
    return snapshot;
}

boost::leaf::result<ServiceSnapshots> parseServiceSnapshots(const ServiceId &service,
                                                            std::string_view json)
{
    return parseDocument(json, [&service](const JsonReader &reader) {
        reader.rejectUnknownKeys({ "snapshots" });
        ServiceSnapshots snapshots { service, {} };
        for (const JsonReader &element : reader.list("snapshots", kMaxEntries)) {
            Snapshot snapshot = parseSnapshot(element);
            if (!snapshots.snapshots.empty()
                && snapshots.snapshots.back().version <= snapshot.version) {
                element.fault(DocumentErrorKind::Inconsistent, "version",
                              "a lower version than that of the previous entry");
            }
            snapshots.snapshots.push_back(std::move(snapshot));
        }
        return snapshots;
    });
}

boost::leaf::result<MemberList> parseMemberList(const FailureDomainId &domain,
                                                std::string_view json)
{
    return parseDocument(json, [&domain](const JsonReader &reader) {
        reader.rejectUnknownKeys({ "members" });
        MemberList list { domain, {} };
        UniqueValues hosts;
        UniqueValues endpoints;
        for (const JsonReader &element : reader.list("members", kMaxEntries)) {
            element.rejectUnknownKeys({ "host", "address", "port", "listedAt" });
            Member member;
            member.host = { element.name("host") };
            requireUnique(element, "host", member.host.value, hosts);
            member.endpoint = parseEndpoint(element);
            requireUnique(element, "address", endpointText(member.endpoint), endpoints);
            member.hostListRevision = { element.number("listedAt", 0, kMaxVersion) };
            list.members.push_back(std::move(member));
        }
        return list;
    });
}

boost::leaf::result<HostList> parseHostList(std::string_view json)
{
    return parseDocument(json, [](const JsonReader &reader) {
        reader.rejectUnknownKeys({ "hosts" });
        HostList list;
        UniqueValues names;
        for (const JsonReader &element : reader.list("hosts", kMaxEntries)) {
            element.rejectUnknownKeys({ "name", "state" });
            ListedHost host;
            host.name = element.name("name");
            requireUnique(element, "name", host.name, names);
            host.state = element.choice("state", { "live", "leaving" }) == 0 ? ListedState::Live
                                                                             : ListedState::Leaving;
            list.hosts.push_back(std::move(host));
        }
        return list;
    });
}

static Signature parseSignature(const JsonReader &reader)
{
    const std::string text = reader.text("signature", kMaxKeyBytes);
    Signature signature;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, signature.value, 16);
    if (text.size() != kSignatureDigits || parsed.ec != std::errc() || parsed.ptr != end)
        reader.fault(DocumentErrorKind::BadText, "signature", "16 hexadecimal digits");
    return signature;
}

boost::leaf::result<QuarantineList> parseQuarantineList(std::string_view json)
{
    return parseDocument(json, [](const JsonReader &reader) {
        reader.rejectUnknownKeys({ "entries" });
        QuarantineList list;
        UniqueValues signatures;
        for (const JsonReader &element : reader.list("entries", kMaxEntries)) {
            element.rejectUnknownKeys({ "signature", "state", "lostServers", "changedAtMs" });
            QuarantineEntry entry;
            entry.signature = parseSignature(element);
            requireUnique(element, "signature", std::to_string(entry.signature.value), signatures);
            entry.state = static_cast<QuarantineState>(
                    element.choice("state", { "suspect", "quarantined", "cleared" }));
            for (const JsonReader &server : element.list("lostServers", kMaxEntries))
                entry.lostServers.push_back({ server.asName() });
            entry.changedAt = WallTime(element.milliseconds("changedAtMs", 0, kMaxVersion / 1000));
            list.entries.push_back(std::move(entry));
        }
        return list;
    });
}

static std::uint64_t toMilliseconds(Duration duration)
{
    return static_cast<std::uint64_t>(duration / std::chrono::milliseconds(1));
}

static json::value formatServer(const BackendServer &server)
{
    return { { "name", server.name.value },
             { "address", server.endpoint.address },
             { "port", server.endpoint.port },
             { "failureDomain", server.failureDomain.value },
             { "inService", server.inService } };
}

static json::value formatService(const Service &service)
{
    json::array operations;
    for (const Operation &operation : service.operations)
        operations.push_back({ { "name", operation.name.value },
                               { "urgent", operation.urgent },
                               { "repeatable", operation.repeatable } });
    json::array groups;
    for (const Group &group : service.groups) {
        json::array servers;
        for (const BackendServer &server : group.servers)
            servers.push_back(formatServer(server));
        groups.push_back({ { "name", group.name.value }, { "servers", std::move(servers) } });
    }
    return { { "name", service.name.value },
             { "route", service.route == Route::AllGroups ? "allGroups" : "oneGroup" },
             { "slots", service.slots },
             { "coldLimit", service.coldLimit },
             { "connectionLimit", service.connectionLimit },
             { "warmPartTimeMs", toMilliseconds(service.warmPartTime) },
             { "maxPartTimeMs", toMilliseconds(service.maxPartTime) },
             { "defaultDeadlineMs", toMilliseconds(service.defaultDeadline) },
             { "maxDeadlineMs", toMilliseconds(service.maxDeadline) },
             { "operations", std::move(operations) },
             { "groups", std::move(groups) } };
}

std::string formatConfiguration(const Configuration &configuration)
{
    json::array changeIds;
    for (const std::string &changeId : configuration.recentChangeIds)
        changeIds.emplace_back(changeId);
    json::array domains;
    for (const FailureDomain &domain : configuration.failureDomains)
        domains.push_back({ { "name", domain.name.value }, { "inService", domain.inService } });
    json::array services;
    for (const Service &service : configuration.services)
        services.push_back(formatService(service));
    json::object document;
    document["changeId"] = configuration.changeId;
    document["recentChangeIds"] = std::move(changeIds);
    document["failureDomains"] = std::move(domains);
    document["services"] = std::move(services);
    return json::serialize(document);
}

static std::string formatList(std::string_view key, json::array list)
{
    json::object document;
    document[key] = std::move(list);
    return json::serialize(document);
}

std::string formatServiceSnapshots(const ServiceSnapshots &snapshots)
{
    json::array list;
    for (const Snapshot &snapshot : snapshots.snapshots) {
        json::array ranges;
        for (const KeyRange &range : snapshot.ranges)
            ranges.push_back(
                    { { "from", range.from }, { "to", range.to }, { "group", range.group.value } });
        list.push_back({ { "version", snapshot.version.value }, { "ranges", std::move(ranges) } });
    }
    return formatList("snapshots", std::move(list));
}

std::string formatMemberList(const MemberList &list)
{
    json::array members;
    for (const Member &member : list.members)
        members.push_back({ { "host", member.host.value },
                            { "address", member.endpoint.address },
                            { "port", member.endpoint.port },
                            { "listedAt", member.hostListRevision.value } });
    return formatList("members", std::move(members));
}

std::string formatHostList(const HostList &list)
{
    json::array hosts;
    for (const ListedHost &host : list.hosts)
        hosts.push_back({ { "name", host.name },
                          { "state", host.state == ListedState::Live ? "live" : "leaving" } });
    return formatList("hosts", std::move(hosts));
}

static const char *quarantineStateText(QuarantineState state)
{
    switch (state) {
    case QuarantineState::Suspect:
        return "suspect";
    case QuarantineState::Quarantined:
        return "quarantined";
    case QuarantineState::Cleared:
        break;
    }
    return "cleared";
}

static std::string signatureText(Signature signature)
{
    std::array<char, kSignatureDigits + 1> digits {};
    std::snprintf(digits.data(), digits.size(), "%016llx",
                  static_cast<unsigned long long>(signature.value));
    return digits.data();
}

std::string formatQuarantineList(const QuarantineList &list)
{
    json::array entries;
    for (const QuarantineEntry &entry : list.entries) {
        json::array servers;
        for (const ServerId &server : entry.lostServers)
            servers.emplace_back(server.value);
        entries.push_back(
                { { "signature", signatureText(entry.signature) },
                  { "state", quarantineStateText(entry.state) },
                  { "lostServers", std::move(servers) },
                  { "changedAtMs", toMilliseconds(entry.changedAt.time_since_epoch()) } });
    }
    return formatList("entries", std::move(entries));
}

} // namespace greengagestair
