#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace greengagestair {

/**
 * Clock type of all events, in microseconds. The process maps it to the steady clock; randomised
 * test runs use virtual time. The core never reads a clock: each event carries its time.
 */
struct EventClock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<EventClock>;
    static constexpr bool is_steady = true;
};

/** Length of a time span, in microseconds. */
using Duration = EventClock::duration;

/** Monotonic time of an event. Values of different hosts cannot be compared. */
using MonotonicTime = EventClock::time_point;

/** Time of day, in microseconds since the Unix epoch. It is used only for identifiers and
 * incarnations, because it can jump. */
using WallTime = std::chrono::sys_time<std::chrono::microseconds>;

/** The monotonic time and the time of day of one event. */
struct Instant
{
    MonotonicTime now;
    WallTime wall;
};

/** Strongly typed string: the compiler rejects a name of one kind where another is expected. */
template <typename Tag>
struct Name
{
    std::string value;

    // False positive: clang-tidy takes the 0 of the rewritten comparison for a null pointer.
    auto operator<=>(const Name &) const = default; // NOLINT(modernize-use-nullptr)
    bool empty() const { return value.empty(); }
};

/** Name of an entry host, as given in its settings; unique in the fleet. */
using HostId = Name<struct HostTag>;
/** Name of a backend server, as given in the configuration; unique in the fleet. */
using ServerId = Name<struct ServerTag>;
/** Name of a failure domain, as given in settings and configuration. */
using FailureDomainId = Name<struct FailureDomainTag>;
/** Name of a service, as given in the configuration. */
using ServiceId = Name<struct ServiceTag>;
/** Name of a tenant: an organisation whose callers share keys and a quota. */
using TenantId = Name<struct TenantTag>;
/** Name of an operation of a service, as given in the configuration. */
using OperationId = Name<struct OperationTag>;
/** Name of a group of replicas; unique within its service. */
using GroupId = Name<struct GroupTag>;
/** Identifier that a caller assigns to a non-repeatable request. */
using IdempotencyKey = Name<struct IdempotencyKeyTag>;
/** Key of a document or ledger bucket in the platform's key-value service. */
using PlatformKey = Name<struct PlatformKeyTag>;

/** Strongly typed integer: the compiler rejects a number of one kind where another is expected. */
template <typename Tag>
struct Number
{
    std::uint64_t value = 0;

    // False positive: clang-tidy takes the 0 of the rewritten comparison for a null pointer.
    auto operator<=>(const Number &) const = default; // NOLINT(modernize-use-nullptr)
};

/** Start time of a process, in microseconds since the Unix epoch. When a host is restarted, the new
 * process has a higher incarnation than the former one. */
using Incarnation = Number<struct IncarnationTag>;
/** Handle of one caller's request, independent of its connection; unique per process. */
using CallerId = Number<struct CallerTag>;
/** Identifier of one attempt of one part; unique per entry host and incarnation. */
using PartId = Number<struct PartTag>;
/** Identifier of one request to a backend server; unique per owner and incarnation. */
using SendId = Number<struct SendTag>;
/** Identifier of one call to the platform; unique per process. */
using CallId = Number<struct CallTag>;
/** Identifier of one request of a gateway to a backend server; unique per process. */
using AttemptId = Number<struct AttemptIdTag>;
/** Identifier of one caller's request in a gateway; unique per process. */
using ExchangeId = Number<struct ExchangeIdTag>;
/** Version of a service's index. */
using IndexVersion = Number<struct IndexVersionTag>;
/** Revision of a platform key, which is also the version of the document under that key. 0 means
 * that the key does not exist. */
using Revision = Number<struct RevisionTag>;
/** Hash of the service, operation and body of a request. Equal requests have equal signatures. */
using Signature = Number<struct SignatureTag>;

/** Network endpoint. The address is a numeric IPv4 or IPv6 address in text form, not a host name.
 */
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default; // NOLINT(modernize-use-nullptr)
};

/** Scheduling priority of queued work; urgent work is preferred to routine work. */
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
