#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <list>
#include <optional>

namespace greengagestair {

/** What callers make a process hold, by kind. Indexes CallerAccount::heldBytes(). */
enum class HeldKind : std::size_t {
    Connection, ///< objects and kernel buffers of a connection, an allowance
    Incomplete, ///< bytes, header and body of a request that is not complete yet
    InProgress, ///< header and body of a request that was passed on
    Unsent      ///< answers that the caller has not taken yet
};
inline constexpr std::size_t kHeldKinds = 4;

/** What a connection does; determines whether and when it may be ended to relieve the process. */
enum class CallerStage {
    New,        ///< has not completed a request yet and sends none
    Idle,       ///< has completed a request and sends none
    Receiving,  ///< an incomplete request
    InProgress, ///< its request was passed on; never ended to relieve the process
    Sending     ///< its caller has not taken the whole answer yet
};

/** Why a connection is ended. */
enum class ShortageReason : std::size_t {
    Stalled,    ///< memory runs short and the request has made no progress for a while
    Memory,     ///< memory is used up
    Connections ///< a new connection takes its place
};
inline constexpr std::size_t kShortageReasons = 3;

/** Limits for all callers of one process together. */
struct CallerMemoryLimits
{
    std::size_t bytes = SIZE_MAX / 2;       ///< that callers may make the process hold
    std::size_t connections = SIZE_MAX / 2; ///< of callers
};

/**
 * Limits for a process that may use `memoryBytes` of memory and open `descriptors`. The share of
 * the callers and what is reserved for servers, the store and other hosts stand in the source.
 */
CallerMemoryLimits callerMemoryLimits(std::uint64_t memoryBytes, std::size_t descriptors);

/**
 * Limits for this process from its settings, where they are stated, and from what the operating
 * system grants it.
 */
CallerMemoryLimits callerMemoryLimitsWithin(std::optional<std::uint64_t> memoryBytes,
                                            std::optional<std::size_t> descriptors);

/** A connection as CallerAccount controls it. */
class AccountedCaller
{
public:
    virtual ~AccountedCaller() = default;
    /**
     * Ends the connection and releases what it holds, which must be visible in its CallerShare on
     * return. An incomplete request is refused with a status that promises that it has not run.
     */
    virtual void endForShortage(ShortageReason reason) = 0;
    /** Continues to read after CallerShare::pause(). */
    virtual void resumeReading() = 0;
};

class CallerShare;

/**
 * The account of everything that callers make one process hold. Orders connections by the time of
 * their last progress and ends those with the least when memory or connections run short. Not
 * thread-safe; reads no clock. All operations but relieve() take constant time.
 */
class CallerAccount
{
public:
    using Time = std::chrono::steady_clock::time_point;

    explicit CallerAccount(CallerMemoryLimits limits = {})
        : m_limits(limits)
    {
    }
    CallerAccount(const CallerAccount &) = delete;
    CallerAccount &operator=(const CallerAccount &) = delete;

    /** Sets the limits for what follows. Nothing is ended before the next relieve(). */
    void setLimits(CallerMemoryLimits limits) { m_limits = limits; }
    const CallerMemoryLimits &limits() const { return m_limits; }
    /**
     * True if a further connection may be accepted. Ends the connection with the least progress if
     * there is no room; returns false if none may be ended.
     */
    bool makeRoomForConnection(Time now);
    /** True if connections with large incomplete requests must stop reading. */
    bool isShort() const { return m_heldBytes > m_limits.bytes / 2; }
    /** True if no further request may be passed on. */
    bool isFull() const { return m_heldBytes > m_limits.bytes; }
    /** True if relieve() must be called at once and not only from time to time. */
    bool needsRelief() const { return m_heldBytes > largeRequestLimit(); }
    /** True if connections wait until they may read again. */
    bool hasPaused() const { return m_paused > 0; }
    /**
     * Ends connections until the bytes held are within the limits, and lets paused ones continue.
     * To be called at least every 100 ms while isShort().
     */
    void relieve(Time now);

    std::size_t heldBytes() const { return m_heldBytes; }
    std::size_t heldBytes(HeldKind kind) const { return m_heldByKind[std::size_t(kind)]; }
    std::size_t connections() const { return m_connections; }
    /** Connections ended since the start, by reason. */
    std::uint64_t ended(ShortageReason reason) const { return m_ended[std::size_t(reason)]; }
    /** Calls of makeRoomForConnection() that returned false. */
    std::uint64_t refusedConnections() const { return m_refusedConnections; }

private:
    friend class CallerShare;

    /** Connections in the order of their last progress, the longest ago first. */
    using Queue = std::list<CallerShare *>;

    std::size_t largeRequestLimit() const { return m_limits.bytes / 4 * 3; }
    std::size_t resumeLimit() const { return m_limits.bytes / 8 * 3; }
    CallerShare *firstOlderThan(std::initializer_list<Queue *> queues, Time latest) const;
    void end(CallerShare &share, ShortageReason reason);
    void resumePaused();

    CallerMemoryLimits m_limits;
    std::size_t m_heldBytes = 0;
    std::array<std::size_t, kHeldKinds> m_heldByKind {};
    std::size_t m_connections = 0;
    std::size_t m_paused = 0;
    std::array<std::uint64_t, kShortageReasons> m_ended {};
    std::uint64_t m_refusedConnections = 0;
    Queue m_new;
    Queue m_idle;
    Queue m_small; ///< incomplete requests that hold little
    Queue m_large; ///< incomplete requests that hold much
    Queue m_sending;
    Queue m_busy;
};

/** One connection's share in a CallerAccount; leaves it when destroyed. */
class CallerShare
{
public:
    using Time = CallerAccount::Time;

    /** Adds a connection in stage New. `account` and `caller` must outlive the share. */
    CallerShare(CallerAccount &account, AccountedCaller &caller, Time now);
    ~CallerShare();
    CallerShare(const CallerShare &) = delete;
    CallerShare &operator=(const CallerShare &) = delete;

    /** Sets what the connection holds of a kind now. */
    void hold(HeldKind kind, std::size_t bytes, Time now);
    /** Sets the stage; the time counts as progress if the stage changes. */
    void setStage(CallerStage stage, Time now);
    /** Reports bytes of the body or of an answer that were moved on. */
    void addProgress(std::size_t bytes, Time now);
    /** True if an incomplete request of the connection must stop reading now. */
    bool mustPause() const;
    /** Records that the connection stopped reading; CallerAccount calls resumeReading() later. */
    void pause();

private:
    friend class CallerAccount;

    void charge(HeldKind kind, std::size_t bytes);
    CallerAccount::Queue &queueOf() const;
    void moveToBack(Time now);

    CallerAccount &m_account;
    AccountedCaller &m_caller;
    std::array<std::size_t, kHeldKinds> m_held {};
    CallerStage m_stage = CallerStage::New;
    Time m_lastProgress;
    std::size_t m_progressBytes = 0;
    bool m_isPaused = false;
    CallerAccount::Queue *m_queue;
    CallerAccount::Queue::iterator m_position;
};

} // namespace greengagestair
