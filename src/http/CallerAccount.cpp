#include "http/CallerAccount.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <iterator>
#include <vector>

namespace greengagestair {

/**
 * Share of the process's memory for callers, in percent. With 160 MB: 64 MB for callers, 32 MB for
 * responses of servers (BackendConnection.cpp), 16 MB measured for an idle process, and the rest
 * for fragmentation of the heap and for the store's entries.
 */
static constexpr std::uint64_t kCallerMemoryPercent = 40;
/**
 * Allowance for one connection: 1.6 KB of objects in this process (measured), and socket,
 * descriptor and the buffers that the kernel uses for a connection that sends little.
 */
static constexpr std::size_t kConnectionBytes = 8192;
/** Descriptors for servers, the store, other hosts and operators: a quarter, at least this many. */
static constexpr std::size_t kMinReservedDescriptors = 32;
/**
 * An incomplete request that holds more is a large one. Covers a header of 2 KB, which is
 * charged double, with a body of 4 KB.
 */
static constexpr std::size_t kLargeRequestBytes = 8192;
/**
 * Bytes that count as progress. The slowest body inside the limits, 262,144 bytes in 15 s, has 17
 * KB a second, so it makes progress four times within kStallTime.
 */
static constexpr std::size_t kProgressBytes = 4096;
/** A request without progress for this long is ended first when memory runs short. */
static constexpr std::chrono::seconds kStallTime(1);
/** A connection younger than this is not ended for another one: its request may be on its way. */
static constexpr std::chrono::milliseconds kConnectionGrace(250);

CallerMemoryLimits callerMemoryLimits(std::uint64_t memoryBytes, std::size_t descriptors)
{
    CallerMemoryLimits limits;
    limits.bytes = static_cast<std::size_t>(memoryBytes / 100 * kCallerMemoryPercent);
    const std::size_t reserved = std::max(kMinReservedDescriptors, descriptors / 4);
    limits.connections = descriptors > reserved ? descriptors - reserved : 1;
    // Half of the callers' memory remains for requests when all connections are open.
    limits.connections = std::min(limits.connections, limits.bytes / 2 / kConnectionBytes);
    return limits;
}

static std::uint64_t limitOf(decltype(RLIMIT_AS) resource, std::uint64_t otherwise)
{
    rlimit limit {};
    if (getrlimit(resource, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return otherwise;
    return limit.rlim_cur;
}

static std::uint64_t availableMemoryBytes()
{
    const auto pages = static_cast<std::uint64_t>(std::max(sysconf(_SC_PHYS_PAGES), 1L));
    const auto pageBytes = static_cast<std::uint64_t>(std::max(sysconf(_SC_PAGESIZE), 1L));
    const std::uint64_t machine = pages * pageBytes;
    return std::min({ machine, limitOf(RLIMIT_AS, machine), limitOf(RLIMIT_DATA, machine) });
}

static std::size_t availableDescriptors()
{
    constexpr std::uint64_t kUnlimited = 1'048'576;
    return static_cast<std::size_t>(std::min(limitOf(RLIMIT_NOFILE, kUnlimited), kUnlimited));
}

CallerMemoryLimits callerMemoryLimitsWithin(std::optional<std::uint64_t> memoryBytes,
                                            std::optional<std::size_t> descriptors)
{
    const std::uint64_t memory = availableMemoryBytes();
    const std::size_t files = availableDescriptors();
    return callerMemoryLimits(std::min(memoryBytes.value_or(memory), memory),
                              std::min(descriptors.value_or(files), files));
}

/** The connection without progress for the longest time among the first of each queue. */
CallerShare *CallerAccount::firstOlderThan(std::initializer_list<Queue *> queues, Time latest) const
{
    CallerShare *oldest = nullptr;
    for (const Queue *queue : queues) {
        if (queue->empty() || queue->front()->m_lastProgress > latest)
            continue;
        if (!oldest || queue->front()->m_lastProgress < oldest->m_lastProgress)
            oldest = queue->front();
    }
    return oldest;
}

void CallerAccount::end(CallerShare &share, ShortageReason reason)
{
    ++m_ended[std::size_t(reason)];
    // The connection may close at once or later; in both cases it is not chosen again.
    share.setStage(CallerStage::InProgress, share.m_lastProgress);
    share.m_caller.endForShortage(reason);
}

bool CallerAccount::makeRoomForConnection(Time now)
{
    if (isFull())
        relieve(now);
    if (m_connections >= m_limits.connections) {
        CallerShare *victim =
                firstOlderThan({ &m_large, &m_small, &m_new }, now - kConnectionGrace);
        if (!victim)
            victim = firstOlderThan({ &m_idle, &m_sending }, now - kStallTime);
        if (victim)
            end(*victim, ShortageReason::Connections);
    }
    if (m_connections < m_limits.connections && !isFull())
        return true;
    ++m_refusedConnections;
    return false;
}

void CallerAccount::relieve(Time now)
{
    // Paused connections wait for the lower limit, so stalled ones are ended down to it.
    while (isShort() || (m_paused > 0 && m_heldBytes > resumeLimit())) {
        CallerShare *victim = firstOlderThan({ &m_large, &m_sending }, now - kStallTime);
        if (!victim)
            break;
        end(*victim, ShortageReason::Stalled);
    }
    while (needsRelief()) {
        CallerShare *victim = firstOlderThan({ &m_large }, now);
        if (!victim)
            victim = firstOlderThan({ &m_sending }, now);
        if (!victim)
            break;
        end(*victim, ShortageReason::Memory);
    }
    while (isFull()) {
        CallerShare *victim = firstOlderThan({ &m_small, &m_new, &m_idle }, now);
        if (!victim)
            break;
        end(*victim, ShortageReason::Memory);
    }
    if (m_paused > 0 && m_heldBytes <= resumeLimit())
        resumePaused();
}

void CallerAccount::resumePaused()
{
    // A connection that resumes may read at once and move to another queue.
    std::vector<CallerShare *> paused;
    for (const Queue *queue : { &m_large, &m_small }) {
        std::copy_if(queue->begin(), queue->end(), std::back_inserter(paused),
                     [](const CallerShare *share) { return share->m_isPaused; });
    }
    for (CallerShare *share : paused) {
        share->m_isPaused = false;
        share->m_caller.resumeReading();
    }
    m_paused = 0;
}

CallerShare::CallerShare(CallerAccount &account, AccountedCaller &caller, Time now)
    : m_account(account)
    , m_caller(caller)
    , m_lastProgress(now)
    , m_queue(&account.m_new)
    , m_position(account.m_new.insert(account.m_new.end(), this))
{
    ++m_account.m_connections;
    charge(HeldKind::Connection, kConnectionBytes);
}

CallerShare::~CallerShare()
{
    for (std::size_t kind = 0; kind < kHeldKinds; ++kind)
        charge(HeldKind(kind), 0);
    if (m_isPaused)
        --m_account.m_paused;
    m_queue->erase(m_position);
    --m_account.m_connections;
}

void CallerShare::charge(HeldKind kind, std::size_t bytes)
{
    std::size_t &held = m_held[std::size_t(kind)];
    m_account.m_heldBytes += bytes - held;
    m_account.m_heldByKind[std::size_t(kind)] += bytes - held;
    held = bytes;
}

void CallerShare::hold(HeldKind kind, std::size_t bytes, Time now)
{
    charge(kind, bytes);
    // What makes a request a large one counts as progress. It stays large until it is complete.
    if (m_queue == &m_account.m_small && &queueOf() != m_queue)
        moveToBack(now);
}

CallerAccount::Queue &CallerShare::queueOf() const
{
    if (m_stage == CallerStage::Receiving && m_queue == &m_account.m_large)
        return m_account.m_large;
    switch (m_stage) {
    case CallerStage::New:
        return m_account.m_new;
    case CallerStage::Idle:
        return m_account.m_idle;
    case CallerStage::Receiving:
        return m_held[std::size_t(HeldKind::Incomplete)] > kLargeRequestBytes ? m_account.m_large
                                                                              : m_account.m_small;
    case CallerStage::Sending:
        return m_account.m_sending;
    case CallerStage::InProgress:
        break;
    }
    return m_account.m_busy;
}

void CallerShare::moveToBack(Time now)
{
    m_lastProgress = now;
    m_progressBytes = 0;
    CallerAccount::Queue &queue = queueOf();
    queue.splice(queue.end(), *m_queue, m_position);
    m_queue = &queue;
}

void CallerShare::setStage(CallerStage stage, Time now)
{
    if (stage == m_stage)
        return;
    m_stage = stage;
    if (m_isPaused && stage != CallerStage::Receiving) {
        m_isPaused = false;
        --m_account.m_paused;
    }
    moveToBack(now);
}

void CallerShare::addProgress(std::size_t bytes, Time now)
{
    m_progressBytes += bytes;
    if (m_progressBytes >= kProgressBytes && m_queue == &queueOf())
        moveToBack(now);
}

bool CallerShare::mustPause() const
{
    return m_queue == &m_account.m_large && m_account.isShort();
}

void CallerShare::pause()
{
    if (!m_isPaused)
        ++m_account.m_paused;
    m_isPaused = true;
}

} // namespace greengagestair
