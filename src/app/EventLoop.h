#pragma once

#include "greengagestair/Reducer.h"
#include "net/Adapters.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace greengagestair {

/** Where the effects of the reducer go. */
struct LoopAdapters
{
    CallerFrontEnd &callers;
    BackendClient &backends;
    PlatformClient &platform;
    PeerTransport &peers;
};

/** Sees each event with the effects that followed, in the thread of the loop. */
class StepRecorder
{
public:
    virtual ~StepRecorder() = default;
    /** Called before the reducer handles the event, since a violated invariant ends the process. */
    virtual void begin(const Instant &instant, const Event &event) = 0;
    virtual void finish(const Effects &effects) = 0;
};

/** How the loop ended. */
enum class LoopEnd {
    Stopped, ///< everything accepted had ended
    TimedOut ///< the stop took longer than its limit
};

/**
 * Runs the reducer in the one thread that runs the io_context: takes posted events in order,
 * applies the effects through the adapters, and wakes the reducer when it asks for it.
 */
class EventLoop : public EventQueue
{
public:
    EventLoop(boost::asio::io_context &context, const ReducerOptions &options);
    ~EventLoop() override;
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    void post(Event event) override;
    /** Runs a function in the thread of the loop. Thread-safe; dropped after the loop has ended. */
    void runInLoop(std::function<void()> function);

    /**
     * Handles events until the reducer has finished its stop, then stops the adapters in order.
     * @param recorder may be null
     * @param onFinish ends other work on the io_context, so that the last messages to peers are
     *        awaited no longer than needed
     */
    LoopEnd run(LoopAdapters adapters, StepRecorder *recorder,
                const std::function<void()> &onFinish);

    /** Only for the thread of the loop. */
    const Reducer &reducer() const;
    /** Both times as of now. */
    static Instant currentInstant();

private:
    class State;
    std::unique_ptr<State> m_state;
};

} // namespace greengagestair
