#include "app/EventLoop.h"

#include "app/Log.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <mutex>
#include <vector>

namespace greengagestair {

/** Beyond the reducer's own limit, for the answers of its last step. */
static constexpr std::chrono::milliseconds kStopSlack(1000);
/** Lets the last messages to peers leave the process before the connections close. */
static constexpr std::chrono::milliseconds kPeerFlushLimit(1000);

class EventLoop::State
{
public:
    State(boost::asio::io_context &context, const ReducerOptions &options);

    void post(Event event);
    void runInLoop(std::function<void()> function);
    LoopEnd run(LoopAdapters adapters, StepRecorder *recorder,
                const std::function<void()> &onFinish);
    const Reducer &reducer() const { return m_reducer; }

private:
    void drain();
    void step(const Event &event);
    void refuse(const Event &event);
    void apply(const Effect &effect);
    void armWakeUp();
    void onWakeUp();
    void armStopLimit();
    void finish(LoopEnd end);

    boost::asio::io_context &m_context;
    const Duration m_stopTimeout;
    Reducer m_reducer;
    LoopAdapters *m_adapters = nullptr;
    StepRecorder *m_recorder = nullptr;
    boost::asio::steady_timer m_wakeUpTimer;
    boost::asio::steady_timer m_stopTimer;
    MonotonicTime m_armedFor = MonotonicTime::max();
    bool m_isStopping = false;
    bool m_isFinished = false;
    LoopEnd m_end = LoopEnd::Stopped;
    std::vector<Event> m_batch;

    std::mutex m_mutex;
    std::vector<Event> m_queue; ///< guarded by m_mutex
};

EventLoop::State::State(boost::asio::io_context &context, const ReducerOptions &options)
    : m_context(context)
    , m_stopTimeout(options.stopTimeout)
    , m_reducer(options)
    , m_wakeUpTimer(context)
    , m_stopTimer(context)
{
}

void EventLoop::State::post(Event event)
{
    bool wasEmpty = false;
    {
        const std::lock_guard lock(m_mutex);
        wasEmpty = m_queue.empty();
        m_queue.push_back(std::move(event));
    }
    // One wake-up serves all events that arrive before the queue is drained.
    if (wasEmpty)
        boost::asio::post(m_context, [this] { drain(); });
}

void EventLoop::State::runInLoop(std::function<void()> function)
{
    boost::asio::post(m_context, std::move(function));
}

void EventLoop::State::drain()
{
    m_batch.clear();
    {
        const std::lock_guard lock(m_mutex);
        m_batch.swap(m_queue);
    }
    for (const Event &event : m_batch)
        step(event);
    armWakeUp();
}

void EventLoop::State::step(const Event &event)
{
    if (m_isFinished) {
        refuse(event);
        return;
    }
    if (std::holds_alternative<StopRequested>(event))
        armStopLimit();
    const Instant instant = currentInstant();
    if (m_recorder)
        m_recorder->begin(instant, event);
    const Effects effects = m_reducer.handle(instant, event);
    if (m_recorder)
        m_recorder->finish(effects);
    for (const Effect &effect : effects)
        apply(effect);
}

/** Answers a caller whose event the reducer never saw, since it had finished its stop. */
void EventLoop::State::refuse(const Event &event)
{
    CallerAnswer answer;
    answer.reason = QueryReason::Stopping;
    if (const auto *request = std::get_if<CallerRequest>(&event)) {
        answer.outcome = QueryOutcome::NotRun;
        answer.service = request->service;
        m_adapters->callers.answer({ request->caller, answer });
    } else if (const auto *query = std::get_if<OutcomeQuery>(&event)) {
        // The request that is asked about may have run earlier.
        answer.outcome = QueryOutcome::MayHaveRun;
        answer.service = query->service;
        m_adapters->callers.answer({ query->caller, answer });
    }
}

void EventLoop::State::apply(const Effect &effect)
{
    // Ordered by frequency.
    if (const auto *sendToPeer = std::get_if<SendToPeer>(&effect))
        m_adapters->peers.send(sendToPeer->host, sendToPeer->endpoint, sendToPeer->message);
    else if (const auto *sendToBackend = std::get_if<SendToBackend>(&effect))
        m_adapters->backends.send(*sendToBackend);
    else if (const auto *answer = std::get_if<AnswerCaller>(&effect))
        m_adapters->callers.answer(*answer);
    else if (const auto *cancel = std::get_if<CancelBackend>(&effect))
        m_adapters->backends.cancel(*cancel);
    else if (const auto *call = std::get_if<CallPlatform>(&effect))
        m_adapters->platform.call(*call);
    else if (const auto *change = std::get_if<LogStateChange>(&effect))
        logStateChange(*change);
    else if (std::holds_alternative<FinishStop>(effect))
        finish(LoopEnd::Stopped);
}

void EventLoop::State::armWakeUp()
{
    const MonotonicTime wanted = m_reducer.nextWakeUp();
    // A timer that fires too early is armed again; this saves a cancellation with each event.
    if (m_isFinished || wanted >= m_armedFor)
        return;
    m_armedFor = wanted;
    m_wakeUpTimer.expires_at(std::chrono::steady_clock::time_point(wanted.time_since_epoch()));
    m_wakeUpTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            onWakeUp();
    });
}

void EventLoop::State::onWakeUp()
{
    m_armedFor = MonotonicTime::max();
    if (m_reducer.nextWakeUp() <= currentInstant().now)
        step(Tick {});
    armWakeUp();
}

void EventLoop::State::armStopLimit()
{
    if (std::exchange(m_isStopping, true))
        return;
    m_stopTimer.expires_after(m_stopTimeout + kStopSlack);
    m_stopTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            finish(LoopEnd::TimedOut);
    });
}

void EventLoop::State::finish(LoopEnd end)
{
    if (std::exchange(m_isFinished, true))
        return;
    m_end = end;
    m_wakeUpTimer.cancel();
    m_stopTimer.cancel();
    m_context.stop();
}

LoopEnd EventLoop::State::run(LoopAdapters adapters, StepRecorder *recorder,
                              const std::function<void()> &onFinish)
{
    m_adapters = &adapters;
    m_recorder = recorder;
    auto work = boost::asio::make_work_guard(m_context);
    // The first tick lets the reducer start its heartbeats and watches.
    post(Tick {});
    m_context.run();
    drain();
    // Callers first, so that they hear the answers of the last step before anything else ends.
    adapters.callers.stop();
    adapters.backends.stop();
    adapters.platform.stop();
    adapters.peers.stop();
    onFinish();
    work.reset();
    m_context.restart();
    m_context.run_for(kPeerFlushLimit);
    m_adapters = nullptr;
    return m_end;
}

EventLoop::EventLoop(boost::asio::io_context &context, const ReducerOptions &options)
    : m_state(std::make_unique<State>(context, options))
{
}

EventLoop::~EventLoop() = default;

void EventLoop::post(Event event)
{
    m_state->post(std::move(event));
}

void EventLoop::runInLoop(std::function<void()> function)
{
    m_state->runInLoop(std::move(function));
}

LoopEnd EventLoop::run(LoopAdapters adapters, StepRecorder *recorder,
                       const std::function<void()> &onFinish)
{
    return m_state->run(adapters, recorder, onFinish);
}

const Reducer &EventLoop::reducer() const
{
    return m_state->reducer();
}

Instant EventLoop::currentInstant()
{
    using std::chrono::floor;
    const auto steady = std::chrono::steady_clock::now().time_since_epoch();
    return { MonotonicTime(floor<Duration>(steady)),
             floor<Duration>(std::chrono::system_clock::now()) };
}

} // namespace greengagestair
