#include "StoreExplorer.h"

#include <algorithm>
#include <charconv>
#include <sstream>

namespace greengagestair {

static constexpr Duration kStepTime = 700ms;
static constexpr Duration kCalmStep = 50ms;
static constexpr Duration kCalmTime = 9s;
/** Two calls in each of the shortest pauses. */
static constexpr std::size_t kMaxCallsInCalm = 2 * static_cast<std::size_t>(kCalmTime / 100ms);

static std::string encode(const std::string &key, std::uint64_t number)
{
    return key + "=" + std::to_string(number);
}

/** The store, the hosts and what is on its way between them. */
class StoreExplorer::World
{
public:
    using OnEntries = std::function<void(StoreResult<StoreEntries>)>;
    using Content = std::map<std::string, std::uint64_t>;

    explicit World(std::size_t hosts)
    {
        std::vector<HostEntry> list;
        for (std::size_t i = 0; i < hosts; ++i)
            list.push_back({ { "h" + std::to_string(i) }, { "d" }, {}, 0 });
        m_hosts.resize(hosts);
        for (std::size_t i = 0; i < hosts; ++i) {
            m_hosts[i].store = std::make_unique<HostStore>(*this, i);
            m_hosts[i].election = std::make_unique<StoreRoleElection>(list[i]);
            m_hosts[i].election->update(list);
        }
        change();
        change();
        for (std::size_t i = 0; i < hosts; ++i) {
            start(i);
            answer(i);
        }
    }

    /** Carries a step out; false if it cannot happen in this state. */
    bool take(const Step &step)
    {
        Host &host = m_hosts[step.host];
        switch (step.kind) {
        case StepKind::Wait:
            pass(kStepTime);
            return true;
        case StepKind::Change:
            change();
            return true;
        case StepKind::KeepCopy:
            m_copy = m_state;
            return true;
        case StepKind::GoBack:
            if (!m_copy || m_era == 3)
                return false;
            m_state = *m_copy;
            ++m_era;
            return true;
        case StepKind::DropHistory:
            m_state.droppedUpTo = m_state.revision;
            return true;
        case StepKind::Compute:
            if (!host.call || host.call->computed)
                return false;
            host.call->computed = compute(*host.call);
            return true;
        case StepKind::Answer:
            return host.call && (answer(step.host), true);
        case StepKind::Fail:
            return host.call && (finish(step.host, StoreFailure::Unreachable), true);
        case StepKind::Frame:
            return !host.frames.empty() && (receive(step.host), true);
        case StepKind::LoseFrame:
            return !host.frames.empty() && (host.frames.pop_front(), true);
        case StepKind::Restart:
            start(step.host);
            return true;
        case StepKind::Snapshot: {
            const auto snapshot = m_hosts[(step.host + 1) % m_hosts.size()].watcher->snapshot();
            if (!snapshot || host.watcher->position())
                return false;
            host.watcher->applySnapshot(*snapshot, m_now);
            return true;
        }
        }
        return false;
    }

    /** Lets everything arrive at once for some time; returns the broken promise, if any. */
    std::string settle()
    {
        m_calls = 0;
        for (Duration passed {}; passed < kCalmTime; passed += kCalmStep) {
            pass(kCalmStep);
            for (std::size_t i = 0; i < m_hosts.size(); ++i) {
                while (!m_hosts[i].frames.empty())
                    receive(i);
                const bool isWaiting = m_hosts[i].call && m_hosts[i].call->after
                        && m_now - m_hosts[i].call->since < m_hosts[i].call->wait
                        && *m_hosts[i].call->after == m_state.revision;
                if (m_hosts[i].call && !isWaiting)
                    answer(i);
            }
        }
        if (m_hasFallenBack)
            return "a host went back to an earlier era";
        if (m_calls > kMaxCallsInCalm * m_hosts.size())
            return std::to_string(m_calls) + " calls while calm";
        for (const Host &host : m_hosts) {
            if (host.view != m_state.content)
                return "a host misses an entry once calm";
        }
        return {};
    }

    std::string digest() const
    {
        std::ostringstream text;
        const auto write = [&text](const StorePosition &position) {
            text << position.era.value << '.' << position.revision.value << ' ';
        };
        const auto writeState = [&text](const State &state) {
            text << state.revision << '>' << state.droppedUpTo << ':';
            for (const auto &[key, number] : state.content)
                text << key << number << ' ';
        };
        text << m_era << ' ';
        writeState(m_state);
        text << '|';
        if (m_copy)
            writeState(*m_copy);
        for (const Host &host : m_hosts) {
            text << '|';
            write(host.watcher->position().value_or(StorePosition {}));
            for (const auto &[key, number] : host.view)
                text << key << number << ' ';
            const auto next = host.watcher->nextWakeUp();
            text << (next ? (*next - m_now) / 100ms : -1);
            if (host.call) {
                text << 'c' << host.call->after.value_or(0);
                write(host.call->position);
                if (host.call->computed) {
                    text << 'a';
                    if (const auto *read = std::get_if<StoreEntries>(&*host.call->computed))
                        write(read->position);
                }
            }
            for (const StoreChanges &frame : host.frames) {
                text << 'f';
                write(frame.after);
                write(frame.position);
            }
        }
        return text.str();
    }

private:
    struct State
    {
        Content content;
        std::map<std::uint64_t, std::pair<std::string, std::uint64_t>> history;
        std::uint64_t revision = 10;
        std::uint64_t droppedUpTo = 0;
    };
    struct Call
    {
        std::optional<std::uint64_t> after; ///< of a watch; nullopt for a read of all entries
        StorePosition position;             ///< of the host when the call began
        OnEntries done;
        MonotonicTime since;
        Duration wait {};
        std::optional<StoreResult<StoreEntries>> computed;
    };
    class HostStore : public RegistryStore
    {
    public:
        HostStore(World &world, std::size_t host)
            : m_world(world)
            , m_host(host)
        {
        }
        void readAll(OnEntries done) override { m_world.begin(m_host, {}, {}, std::move(done)); }
        StoreEntry decode(const std::string &encoded) const override { return decodeText(encoded); }
        std::string encodeRemoval(const std::string &key) const override { return encode(key, 0); }
        void awaitChanges(Revision after, Duration wait, OnEntries done) override
        {
            m_world.begin(m_host, after.value, wait, std::move(done));
        }
        void grantLease(Duration, std::function<void(StoreResult<LeaseGrant>)>) override { }
        void renewLease(std::uint64_t, std::function<void(StoreResult<StoreDone>)>) override { }
        void announceHost(const HostEntry &, std::uint64_t,
                          std::function<void(StoreResult<StoreDone>)>) override
        {
        }
        void writeRollout(const RolloutWrite &, std::function<void(StoreResult<Revision>)>) override
        {
        }
        void endLease(std::uint64_t, std::function<void(StoreResult<StoreDone>)>) override { }

    private:
        World &m_world;
        std::size_t m_host;
    };
    struct Host
    {
        std::unique_ptr<HostStore> store;
        std::unique_ptr<StoreRoleElection> election;
        std::unique_ptr<StoreWatcher> watcher;
        std::optional<Call> call;
        std::deque<StoreChanges> frames;
        Content view;
        StorePosition highest;
    };

    static StoreEntry decodeText(const std::string &encoded)
    {
        const std::size_t separator = encoded.rfind('=');
        const std::string key = encoded.substr(0, separator);
        BackendRegistration registration;
        registration.server = { key };
        std::from_chars(encoded.data() + separator + 1, encoded.data() + encoded.size(),
                        registration.startedAt);
        if (registration.startedAt == 0)
            return { key, AbsentServer { { key }, {} }, encoded };
        return { key, ServerEntry { registration }, encoded };
    }

    void start(std::size_t index)
    {
        Host &host = m_hosts[index];
        host.call.reset();
        host.frames.clear();
        host.view.clear();
        host.highest = {};
        host.watcher = std::make_unique<StoreWatcher>(
                *host.store, [this, index](const GatewayEvent &event) { apply(index, event); },
                [](const LogRecord &) {},
                [this, index](const StoreChanges &changes) { share(index, changes); }, [] {},
                index + 1);
        host.watcher->setRole(host.election->role(), m_now);
        host.watcher->advance(m_now);
    }

    void begin(std::size_t host, std::optional<std::uint64_t> after, Duration wait, OnEntries done)
    {
        ++m_calls;
        const auto position = m_hosts[host].watcher->position().value_or(StorePosition {});
        m_hosts[host].call = Call { after, position, std::move(done), m_now, wait, {} };
    }

    void pass(Duration time)
    {
        m_now += time;
        for (Host &host : m_hosts)
            host.watcher->advance(m_now);
    }

    void change()
    {
        const std::string key(1, static_cast<char>('a' + m_changes % 2));
        ++m_changes;
        const bool isRemoval = m_changes % 3 == 0 && m_state.content.contains(key);
        const std::uint64_t number = isRemoval ? 0 : m_changes;
        if (isRemoval)
            m_state.content.erase(key);
        else
            m_state.content[key] = number;
        m_state.history[++m_state.revision] = { key, number };
    }

    StoreResult<StoreEntries> compute(const Call &call) const
    {
        StoreEntries entries { {}, { { m_state.revision }, { m_era } } };
        if (!call.after) {
            for (const auto &[key, number] : m_state.content)
                entries.entries.push_back(decodeText(encode(key, number)));
            return entries;
        }
        if (*call.after > m_state.revision || *call.after < m_state.droppedUpTo)
            return StoreFailure::HistoryDropped;
        for (auto event = m_state.history.upper_bound(*call.after); event != m_state.history.end();
             ++event)
            entries.entries.push_back(
                    decodeText(encode(event->second.first, event->second.second)));
        return entries;
    }

    void answer(std::size_t index)
    {
        const Call &call = *m_hosts[index].call;
        finish(index, call.computed ? *call.computed : compute(call));
    }

    void finish(std::size_t index, const StoreResult<StoreEntries> &result)
    {
        Host &host = m_hosts[index];
        const OnEntries done = std::move(host.call->done);
        host.call.reset();
        done(result);
        host.watcher->advance(m_now);
    }

    void share(std::size_t from, const StoreChanges &changes)
    {
        for (std::size_t to = 0; to < m_hosts.size(); ++to) {
            if (to != from)
                m_hosts[to].frames.push_back(changes);
        }
    }

    void receive(std::size_t index)
    {
        Host &host = m_hosts[index];
        const StoreChanges changes = host.frames.front();
        host.frames.pop_front();
        host.watcher->applySharedChanges(changes, m_now);
        host.watcher->advance(m_now);
    }

    void apply(std::size_t index, const GatewayEvent &event)
    {
        Host &host = m_hosts[index];
        if (const auto *read = std::get_if<RegistrationsRead>(&event)) {
            host.view.clear();
            for (const BackendRegistration &registration : read->registrations)
                host.view[registration.server.value] = registration.startedAt;
        } else if (const auto *written = std::get_if<RegistrationWritten>(&event)) {
            host.view[written->registration.server.value] = written->registration.startedAt;
        } else if (const auto *removed = std::get_if<RegistrationRemoved>(&event)) {
            host.view.erase(removed->server.value);
        }
        const auto reached = host.watcher->position().value_or(StorePosition {});
        m_hasFallenBack = m_hasFallenBack || reached.era < host.highest.era;
        host.highest = std::max(host.highest, reached);
    }

    std::vector<Host> m_hosts;
    State m_state;
    std::optional<State> m_copy;
    std::uint64_t m_era = 1;
    std::uint64_t m_changes = 0;
    std::size_t m_calls = 0;
    bool m_hasFallenBack = false;
    MonotonicTime m_now { 100s };
};

StoreExplorer::StoreExplorer(std::size_t hosts, std::size_t depth)
    : m_hosts(hosts)
    , m_depth(depth)
{
}

std::vector<StoreExplorer::Step> StoreExplorer::steps() const
{
    std::vector<Step> steps { { StepKind::Wait },
                              { StepKind::Change },
                              { StepKind::KeepCopy },
                              { StepKind::GoBack },
                              { StepKind::DropHistory } };
    for (std::size_t host = 0; host < m_hosts; ++host) {
        for (const StepKind kind :
             { StepKind::Compute, StepKind::Answer, StepKind::Fail, StepKind::Frame,
               StepKind::LoseFrame, StepKind::Restart, StepKind::Snapshot })
            steps.push_back({ kind, host });
    }
    return steps;
}

std::string StoreExplorer::describe(const std::vector<Step> &path)
{
    static const char *const kNames[] = { "wait",  "change",    "keepCopy", "goBack",
                                          "drop",  "compute",   "answer",   "fail",
                                          "frame", "loseFrame", "restart",  "snapshot" };
    std::string text;
    for (const Step &step : path)
        text += std::string(kNames[static_cast<std::size_t>(step.kind)]) + " "
                + std::to_string(step.host) + "; ";
    return text;
}

std::optional<std::string> StoreExplorer::play(const std::vector<Step> &path,
                                               std::string &violation) const
{
    World world(m_hosts);
    for (const Step &step : path) {
        if (!world.take(step))
            return std::nullopt;
    }
    std::string digest = world.digest();
    violation = world.settle();
    return digest;
}

StoreExplorer::Result StoreExplorer::run()
{
    Result result;
    std::set<std::string> seen;
    std::vector<std::vector<Step>> level { {} };
    const std::vector<Step> all = steps();
    for (std::size_t depth = 0; depth < m_depth; ++depth) {
        std::vector<std::vector<Step>> next;
        for (const std::vector<Step> &path : level) {
            for (const Step &step : all) {
                std::vector<Step> longer = path;
                longer.push_back(step);
                std::string violation;
                const auto digest = play(longer, violation);
                if (!digest || !seen.insert(*digest).second)
                    continue;
                ++result.states;
                if (!violation.empty()) {
                    result.violation = violation + " after " + describe(longer);
                    return result;
                }
                next.push_back(std::move(longer));
            }
        }
        level = std::move(next);
    }
    return result;
}

} // namespace greengagestair
