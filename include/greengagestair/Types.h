#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace greengagestair {

/**
 * Clock of all events. The process maps it to the steady clock; randomised runs use virtual time.
 * It is never read inside the core: each event carries its time.
 */
struct EventClock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<EventClock>;
    static constexpr bool is_steady = true;
};

/** Length of time, in microseconds. */
using Duration = EventClock::duration;

/** Monotonic time of an event. Not comparable between hosts. */
using MonotonicTime = EventClock::time_point;

/** Time of day, in microseconds since the Unix epoch. Used only for identifiers and incarnations.
 */
using WallTime = std::chrono::sys_time<std::chrono::microseconds>;

/** Both times of one event. */
struct Instant
{
    MonotonicTime now;
    WallTime wall;
};

/** A name that cannot be confused with a name of another kind. */
template <typename Tag>
struct Name
{
    std::string value;

    // clang-tidy mistakes the 0 of a rewritten comparison for a null pointer.
    auto operator<=>(const Name &) const = default; // NOLINT(modernize-use-nullptr)
    bool empty() const { return value.empty(); }
};

/** Entry host, as named in its settings; unique in the fleet. */
using HostId = Name<struct HostTag>;
/** Backend server, as named in the configuration; unique in the fleet. */
using ServerId = Name<struct ServerTag>;
/** Failure domain, as named in settings and configuration. */
using FailureDomainId = Name<struct FailureDomainTag>;
/** Service, as named in the configuration. */
using ServiceId = Name<struct ServiceTag>;
/** Operation of a service, as named in the configuration. */
using OperationId = Name<struct OperationTag>;
/** Group of replicas, unique within its service. */
using GroupId = Name<struct GroupTag>;
/** Identifier that a caller gives to a non-repeatable request. */
using IdempotencyKey = Name<struct IdempotencyKeyTag>;
/** Key of a document or ledger bucket in the platform's key-value service. */
using PlatformKey = Name<struct PlatformKeyTag>;

/** A number that cannot be confused with a number of another kind. */
template <typename Tag>
struct Number
{
    std::uint64_t value = 0;

    // clang-tidy mistakes the 0 of a rewritten comparison for a null pointer.
    auto operator<=>(const Number &) const = default; // NOLINT(modernize-use-nullptr)
};

/** Start time of a process in microseconds since the Unix epoch; a later process of a host has a
 * higher one. */
using Incarnation = Number<struct IncarnationTag>;
/** Connection-independent handle of one caller's request inside one process. */
using CallerId = Number<struct CallerTag>;
/** One attempt of one part; unique per entry host and incarnation. */
using PartId = Number<struct PartTag>;
/** One request to a backend server; unique per owner and incarnation. */
using SendId = Number<struct SendTag>;
/** One call to the platform; unique per process. */
using CallId = Number<struct CallTag>;
/** One request of a gateway to a backend server; unique per process. */
using AttemptId = Number<struct AttemptIdTag>;
/** One request of a caller in a gateway; unique per process. */
using ExchangeId = Number<struct ExchangeIdTag>;
/** Version of a service's index. */
using IndexVersion = Number<struct IndexVersionTag>;
/** Revision of a platform key; also the version of the document it holds. 0 means absent. */
using Revision = Number<struct RevisionTag>;
/** Hash of service, operation and body of a request. */
using Signature = Number<struct SignatureTag>;

/** IP address and port, as numbers in text form. */
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default; // NOLINT(modernize-use-nullptr)
};

/** Order in which queued work is taken. */
enum class Priority { Urgent, Routine };

} // namespace greengagestair

template <typename Tag>
struct std::hash<greengagestair::Name<Tag>>
{
    std::size_t operator()(const greengagestair::Name<Tag> &name) const noexcept
    {
        return std::hash<std::string> {}(name.value);
    }
};

template <typename Tag>
struct std::hash<greengagestair::Number<Tag>>
{
    std::size_t operator()(const greengagestair::Number<Tag> &number) const noexcept
    {
        return std::hash<std::uint64_t> {}(number.value);
    }
};
