#pragma once

#include "greengagestair/Types.h"

#include <boost/json/fwd.hpp>
#include <boost/leaf/result.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace greengagestair {

/** The document `configuration` as the platform holds it. */
struct PlatformDocument
{
    Revision revision; ///< 0 if the key is absent
    std::string content;
};

/** A compare-and-swap that found another revision. */
struct WriteConflict
{
};

/** The answer did not arrive, so the write may or may not take effect. */
struct WriteUnknown
{
};

using WriteResult = std::variant<Revision, WriteConflict, WriteUnknown>;

/** Access to the document `configuration` in the platform. */
class ConfigurationStore
{
public:
    virtual ~ConfigurationStore() = default;
    /** Nothing if the platform gave no usable answer. */
    virtual std::optional<PlatformDocument> read() = 0;
    virtual WriteResult write(Revision expected, const std::string &content) = 0;
    /** Waits before the next attempt; false if the operator's time limit has passed. */
    virtual bool waitBeforeRetry() = 0;
};

/** How a change ended. */
enum class ChangeResult {
    Accepted,         ///< this declaration is in the platform
    AcceptedBefore,   ///< it was accepted earlier and newer changes followed
    IdentifierReused, ///< its change identifier belongs to another content; nothing was written
    LostRace,         ///< another change was written first; nothing was overwritten
    Unreachable,      ///< the platform could not be read, and nothing was written
    Unknown           ///< a write may have taken effect or may still do so
};

/** Result with what the platform held last. */
struct ChangeReport
{
    ChangeResult result = ChangeResult::Unreachable;
    Revision revision;
    std::string otherChangeId; ///< of the change in the platform, if it is another one
};

/**
 * Writes a checked declaration by compare-and-swap. After a lost answer it reads again and
 * recognises its own change by the change identifier; repeating the same write is safe, since it
 * names the same expected revision.
 */
ChangeReport applyConfiguration(const std::string &declaration, ConfigurationStore &store);

/** Adds the identifiers of earlier changes, newest first, to a declaration. */
std::string withRecentChangeIds(const std::string &declaration, const std::string &current);

} // namespace greengagestair
