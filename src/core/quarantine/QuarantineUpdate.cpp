#include "core/quarantine/QuarantineUpdate.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace greengagestair {

/** A suspect signature without a further loss is removed after this time. */
static constexpr auto kSuspectRetention = std::chrono::hours(1);
static constexpr auto kQuarantinedRetention = std::chrono::hours(24);
/** Keeps the document far below the platform's limit of 1 MB. */
static constexpr std::size_t kMaxEntries = 1000;
static constexpr std::size_t kHexDigits = 16;

using Entries = std::vector<QuarantineEntry>;

std::string toHex(Signature signature)
{
    std::array<char, kHexDigits> digits {};
    const auto end =
            std::to_chars(digits.data(), digits.data() + digits.size(), signature.value, 16).ptr;
    const std::string text(digits.data(), end);
    return std::string(kHexDigits - text.size(), '0') + text;
}

static std::optional<QuarantineEntry> parseEntry(const boost::json::value &value)
{
    const auto *object = value.if_object();
    if (object == nullptr)
        return std::nullopt;
    const auto *signature = object->if_contains("signature");
    const auto *state = object->if_contains("state");
    const auto *servers = object->if_contains("lostServers");
    const auto *changedAt = object->if_contains("changedAtMs");
    const bool usable = signature != nullptr && signature->is_string() && state != nullptr
            && state->is_string() && servers != nullptr && servers->is_array()
            && changedAt != nullptr && changedAt->is_int64();
    if (!usable)
        return std::nullopt;
    QuarantineEntry entry;
    const auto &digits = signature->get_string();
    std::from_chars(digits.data(), digits.data() + digits.size(), entry.signature.value, 16);
    entry.state = state->get_string() == "quarantined" ? QuarantineState::Quarantined
                                                       : QuarantineState::Suspect;
    for (const auto &server : servers->get_array()) {
        if (server.is_string())
            entry.lostServers.push_back({ std::string(server.get_string()) });
    }
    entry.changedAt = WallTime(std::chrono::milliseconds(changedAt->get_int64()));
    return entry;
}

static Entries parseEntries(const std::string &content)
{
    Entries entries;
    boost::json::error_code error;
    const auto value = boost::json::parse(content, error);
    const auto *object = error ? nullptr : value.if_object();
    const auto *list = object == nullptr ? nullptr : object->if_contains("entries");
    if (list == nullptr || !list->is_array())
        return entries;
    for (const auto &item : list->get_array()) {
        if (auto entry = parseEntry(item))
            entries.push_back(std::move(*entry));
    }
    return entries;
}

static std::string serialize(const Entries &entries)
{
    boost::json::array list;
    for (const QuarantineEntry &entry : entries) {
        boost::json::array servers;
        for (const ServerId &server : entry.lostServers)
            servers.emplace_back(server.value);
        boost::json::object item;
        item["signature"] = toHex(entry.signature);
        item["state"] = entry.state == QuarantineState::Quarantined ? "quarantined" : "suspect";
        item["lostServers"] = std::move(servers);
        item["changedAtMs"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                                      entry.changedAt.time_since_epoch())
                                      .count();
        list.emplace_back(std::move(item));
    }
    boost::json::object document;
    document["entries"] = std::move(list);
    return boost::json::serialize(document);
}

static bool addLoss(Entries &entries, const QuarantineUpdate::Loss &loss, WallTime time)
{
    auto found = std::find_if(entries.begin(), entries.end(), [&](const QuarantineEntry &entry) {
        return entry.signature == loss.signature;
    });
    if (found == entries.end()) {
        entries.push_back({ loss.signature, QuarantineState::Suspect, {}, time });
        found = std::prev(entries.end());
    }
    bool changed = false;
    for (const ServerId &server : loss.servers) {
        auto &servers = found->lostServers;
        if (std::find(servers.begin(), servers.end(), server) != servers.end())
            continue;
        servers.push_back(server);
        found->changedAt = time;
        changed = true;
    }
    if (found->lostServers.size() >= kMaxLostServers)
        found->state = QuarantineState::Quarantined;
    return changed;
}

static bool removeCleared(Entries &entries, Signature signature)
{
    return std::erase_if(entries,
                         [&](const QuarantineEntry &entry) {
                             return entry.signature == signature
                                     && entry.state == QuarantineState::Suspect;
                         })
            > 0;
}

static void prune(Entries &entries, WallTime time)
{
    std::erase_if(entries, [&](const QuarantineEntry &entry) {
        const bool suspect = entry.state == QuarantineState::Suspect;
        return entry.changedAt + (suspect ? kSuspectRetention : kQuarantinedRetention) <= time;
    });
    if (entries.size() <= kMaxEntries)
        return;
    std::stable_sort(entries.begin(), entries.end(),
                     [](const QuarantineEntry &left, const QuarantineEntry &right) {
                         if (left.state != right.state)
                             return left.state == QuarantineState::Quarantined;
                         return left.changedAt > right.changedAt;
                     });
    entries.resize(kMaxEntries);
}

std::optional<std::string>
QuarantineUpdate::applyTo(const std::optional<std::string> &current) const
{
    Entries entries = current.has_value() ? parseEntries(*current) : Entries();
    bool changed = false;
    for (const Signature signature : cleared)
        changed = removeCleared(entries, signature) || changed;
    for (const Loss &loss : losses)
        changed = addLoss(entries, loss, time) || changed;
    if (!changed)
        return std::nullopt;
    prune(entries, time);
    return serialize(entries);
}

} // namespace greengagestair
