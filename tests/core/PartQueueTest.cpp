#include "core/sending/PartQueue.h"
#include "core/StepContext.h"

#include <catch2/catch.hpp>

using namespace greengagestair;
using namespace std::chrono_literals;

static const MonotonicTime kStart { 100s };

static QueuedPart makePart(std::uint64_t id, Priority priority, MonotonicTime queryStart,
                           MonotonicTime deadline = kStart + 1s)
{
    PartRequest request;
    request.part = { id };
    request.priority = priority;
    return { HostId { "shubra-1" }, request, queryStart, deadline };
}

TEST_CASE("urgent parts come first, and the oldest query first within a priority class", "[queue]")
{
    PartQueue queue;
    queue.push(makePart(1, Priority::Routine, kStart));
    queue.push(makePart(2, Priority::Urgent, kStart + 2ms));
    queue.push(makePart(3, Priority::Urgent, kStart + 1ms));
    REQUIRE(queue.pop().request.part == PartId { 3 });
    REQUIRE(queue.pop().request.part == PartId { 2 });
    REQUIRE(queue.pop().request.part == PartId { 1 });
}

TEST_CASE("a steady flow of urgent parts does not starve a routine part", "[queue]")
{
    PartQueue queue;
    queue.push(makePart(1000, Priority::Routine, kStart));
    int urgentBefore = 0;
    for (std::uint64_t id = 1; id < 100; ++id) {
        queue.push(makePart(id, Priority::Urgent, kStart));
        if (queue.pop().request.part == PartId { 1000 })
            break;
        ++urgentBefore;
    }
    REQUIRE(urgentBefore == PartQueue::kMaxConsecutiveUrgent);
}

TEST_CASE("expired and removed parts leave the queue exactly once", "[queue]")
{
    PartQueue queue;
    queue.push(makePart(1, Priority::Urgent, kStart, kStart + 5ms));
    queue.push(makePart(2, Priority::Urgent, kStart, kStart + 9ms));
    queue.push(makePart(2, Priority::Urgent, kStart, kStart + 9ms)); // not added again
    REQUIRE(queue.size() == 2);
    REQUIRE(queue.earliestDeadline() == kStart + 5ms);
    REQUIRE(queue.removeExpired(kStart + 5ms).size() == 1);
    REQUIRE(queue.remove(HostId { "shubra-1" }, { 2 }).has_value());
    REQUIRE_FALSE(queue.remove(HostId { "shubra-1" }, { 2 }).has_value());
    REQUIRE(queue.earliestDeadline() == kNever);
}
