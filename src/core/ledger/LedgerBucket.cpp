#include "core/ledger/LedgerBucket.h"

#include "core/ledger/LedgerIdentifier.h"

#include <boost/json.hpp>
#include <boost/leaf/error.hpp>

#include <array>
#include <string_view>
#include <utility>

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace greengagestair {

/** Upper bound on the size of the field names, punctuation and numbers of an entry, which has at
 * most 4 numbers of 20 digits. */
static constexpr std::size_t kMaxEntryOverheadBytes = 224;

namespace {

struct StateName
{
    LedgerState state;
    std::string_view name;
};

} // namespace

static constexpr std::array kStateNames {
    StateName { LedgerState::Claimed, "claimed" },
    StateName { LedgerState::Done, "done" },
    StateName { LedgerState::Released, "released" },
    StateName { LedgerState::NotRun, "notRun" },
};

static std::string_view nameOf(LedgerState state)
{
    return kStateNames.at(static_cast<std::size_t>(state)).name;
}

/** Throws std::invalid_argument for an unknown name, or an exception of Boost.JSON. */
static LedgerState stateOf(const json::value &value)
{
    const std::string_view name = value.as_string();
    for (const StateName &candidate : kStateNames) {
        if (candidate.name == name)
            return candidate.state;
    }
    throw std::invalid_argument("state");
}

static std::string textOf(const json::value &value)
{
    return std::string(value.as_string());
}

static LedgerEntry readEntry(const json::object &object)
{
    LedgerEntry entry;
    entry.key = { textOf(object.at("id")) };
    entry.state = stateOf(object.at("state"));
    entry.token.host = { textOf(object.at("host")) };
    entry.token.incarnation = { json::value_to<std::uint64_t>(object.at("incarnation")) };
    entry.token.counter = json::value_to<std::uint64_t>(object.at("counter"));
    const auto milliseconds = json::value_to<std::int64_t>(object.at("timeMs"));
    entry.time = WallTime(std::chrono::milliseconds(milliseconds));
    if (const json::value *snapshot = object.if_contains("snapshot"))
        entry.snapshot = { json::value_to<std::uint64_t>(*snapshot) };
    if (const json::value *result = object.if_contains("result"))
        entry.body = textOf(*result);
    if (const json::value *omitted = object.if_contains("resultOmitted"))
        entry.resultOmitted = omitted->as_bool();
    return entry;
}

/** Appends `,"name":value`. */
static void appendNumber(std::string &text, std::string_view name, std::uint64_t value)
{
    text.append(",\"").append(name).append("\":").append(std::to_string(value));
}

/** Appends `,"name":"value"`. */
static void appendText(std::string &text, std::string_view name, std::string_view value)
{
    text.append(",\"").append(name).append("\":").append(json::serialize(value));
}

static void appendEntry(std::string &text, const LedgerEntry &entry)
{
    const auto time = std::chrono::floor<std::chrono::milliseconds>(entry.time.time_since_epoch());
    text.append("{\"id\":").append(json::serialize(std::string_view(entry.key.value)));
    appendText(text, "state", nameOf(entry.state));
    appendText(text, "host", entry.token.host.value);
    appendNumber(text, "incarnation", entry.token.incarnation.value);
    appendNumber(text, "counter", entry.token.counter);
    appendNumber(text, "timeMs", static_cast<std::uint64_t>(time.count()));
    if (entry.state == LedgerState::Done) {
        appendNumber(text, "snapshot", entry.snapshot.value);
        if (entry.resultOmitted)
            text.append(",\"resultOmitted\":true");
        else
            appendText(text, "result", entry.body);
    }
    text.push_back('}');
}

/** Accepts invalid UTF-8, because results are stored as the backend server sent them. */
static json::value parseText(const std::string &text, json::storage_ptr storage)
{
    json::parse_options options;
    options.allow_invalid_utf8 = true;
    return json::parse(text, std::move(storage), options);
}

leaf::result<LedgerBucket> LedgerBucket::parse(const std::string &text)
{
    LedgerBucket bucket;
    try {
        json::monotonic_resource storage;
        const json::value value = parseText(text, &storage);
        for (const json::value &entry : value.as_object().at("entries").as_array())
            bucket.put(readEntry(entry.as_object()));
    } catch (const std::exception &) {
        return leaf::new_error(MalformedLedgerBucket {});
    }
    return bucket;
}

/** Writes the text directly instead of building a tree of JSON values: a full bucket has thousands
 * of entries, and this runs on the thread that handles all events. */
std::string LedgerBucket::serialize() const
{
    std::string text = "{\"entries\":[";
    text.reserve(m_maxSerializedBytes);
    for (const auto &[key, entry] : m_entries) {
        if (text.back() != '[')
            text.push_back(',');
        appendEntry(text, entry);
    }
    return text.append("]}");
}

const LedgerEntry *LedgerBucket::find(const IdempotencyKey &key) const
{
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? nullptr : &found->second;
}

void LedgerBucket::put(LedgerEntry entry)
{
    const auto found = m_entries.find(entry.key);
    if (found != m_entries.end()) {
        m_maxSerializedBytes -= maxEntryBytes(found->second);
        m_entries.erase(found);
    }
    m_maxSerializedBytes += maxEntryBytes(entry);
    IdempotencyKey key = entry.key;
    m_entries.emplace(std::move(key), std::move(entry));
}

void LedgerBucket::dropExpired(WallTime now)
{
    // Uses the time in the identifier, which does not depend on the clock of the host that wrote
    // the entry. The time of the entry is used only if the identifier contains none.
    const WallTime limit = now - kLedgerRetention - kLedgerClockSkewMargin;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        if (issueTime(it->first).value_or(it->second.time) >= limit) {
            ++it;
            continue;
        }
        m_maxSerializedBytes -= maxEntryBytes(it->second);
        it = m_entries.erase(it);
    }
}

/** Length in bytes of a text as a JSON string, without the quotes. */
static std::size_t escapedBytes(const std::string &text)
{
    std::size_t bytes = 0;
    for (const char c : text) {
        const bool control = static_cast<unsigned char>(c) < 0x20;
        const bool quoted = c == '"' || c == '\\';
        bytes += control ? 6 : quoted ? 2 : 1;
    }
    return bytes;
}

std::size_t LedgerBucket::maxEntryBytes(const LedgerEntry &entry)
{
    return kMaxEntryOverheadBytes + escapedBytes(entry.key.value)
            + escapedBytes(entry.token.host.value) + escapedBytes(entry.body);
}

} // namespace greengagestair
