#include "FakeBackends.h"

#include <algorithm>
#include <memory>

namespace greengagestair {

static constexpr Duration kOneWay = std::chrono::microseconds(500);
static constexpr int kAnswersUntilWarm = 20;
static constexpr int kColdFactor = 5;
static constexpr int kStragglerFactor = 20;

FakeBackends::FakeBackends(VirtualTime &time, std::mt19937_64 &random, const Options &options)
    : m_time(time)
    , m_random(random)
    , m_options(options)
{
}

void FakeBackends::add(const ServerId &server, std::set<IndexVersion> heldVersions)
{
    m_servers[server].held = std::move(heldVersions);
}

void FakeBackends::violation(const std::string &text)
{
    const auto milliseconds =
            std::chrono::duration_cast<std::chrono::milliseconds>(m_time.now().time_since_epoch());
    m_violations.push_back(std::to_string(milliseconds.count()) + " ms: " + text);
}

void FakeBackends::send(const std::string &owner, const SendToBackend &request, Reply reply)
{
    // The client side gives up at the deadline, whatever the server does.
    const auto answered = std::make_shared<bool>(false);
    const Reply once = [answered, reply](const BackendFinished &finished) {
        if (*answered)
            return;
        *answered = true;
        reply(finished);
    };
    const BackendFinished timedOut { request.send, BackendStatus::TimedOut, {}, {}, {}, {} };
    m_time.after(request.deadline, [once, timedOut] { once(timedOut); });
    m_time.after(kOneWay, [this, owner, request, once] { receive(owner, request, once); });
}

Duration FakeBackends::drawPartTime(const Server &server)
{
    Duration partTime = m_options.partTime * (80 + static_cast<int>(m_random() % 60)) / 100;
    if (server.answersUntilWarm > 0)
        partTime *= kColdFactor;
    if (m_random() % 100 < m_options.stragglerPercent)
        partTime *= kStragglerFactor;
    return partTime;
}

void FakeBackends::receive(const std::string &owner, const SendToBackend &request,
                           const Reply &reply)
{
    Server &server = m_servers.at(request.server);
    BackendFinished answer { request.send, BackendStatus::Answered, request.send, {}, {}, {} };
    const auto respond = [this, reply](const BackendFinished &finished) {
        m_time.after(kOneWay, [reply, finished] { reply(finished); });
    };
    if (!server.up) {
        answer.status = BackendStatus::NotConnected;
        respond(answer);
        return;
    }
    if (server.draining) {
        answer.status = BackendStatus::Draining;
        respond(answer);
        return;
    }
    // Half of the servers that lack the pinned version ignore it and answer from their newest one.
    const bool ignoresPin = std::hash<ServerId> {}(request.server) % 2 == 0;
    if (!server.held.contains(request.version) && !ignoresPin) {
        answer.status = BackendStatus::VersionNotHeld;
        answer.heldVersions.assign(server.held.begin(), server.held.end());
        respond(answer);
        return;
    }
    const auto running = static_cast<int>(server.running.size()) + 1;
    if (running > m_options.slots)
        violation(request.server.value + " runs more than its slots");
    if (server.answersUntilWarm > 0 && server.coldKnown && running > m_options.coldLimit)
        violation(request.server.value + " gets more than it bears while cold");
    const std::uint64_t execution = ++m_executionCount;
    server.running.emplace(execution,
                           Running { reply, owner, request, server.answersUntilWarm > 0 });
    server.lastStart = m_time.now();
    ++m_executions[request.body];
    if (request.body.find(kCrashingBody) != std::string::npos) {
        m_time.after(m_options.partTime / 2, [this, name = request.server, execution] {
            if (!m_servers.at(name).running.contains(execution))
                return;
            ++m_lostToRequests;
            crash(name, std::chrono::milliseconds(500));
        });
        return;
    }
    const Duration partTime = std::min(drawPartTime(server), request.deadline);
    m_time.after(partTime, [this, name = request.server, execution] { finish(name, execution); });
}

void FakeBackends::finish(const ServerId &name, std::uint64_t execution)
{
    Server &server = m_servers.at(name);
    const auto found = server.running.find(execution);
    if (found == server.running.end())
        return;
    const Running running = std::move(found->second);
    server.running.erase(found);
    if (server.answersUntilWarm > 0) {
        --server.answersUntilWarm;
        // The answer to a request that started before the server turned cold is as fast as ever.
        server.coldKnown = server.coldKnown || running.startedCold;
    }
    BackendFinished answer;
    answer.send = running.request.send;
    answer.echoed = running.request.send;
    answer.status = BackendStatus::Answered;
    const bool held = server.held.contains(running.request.version);
    answer.version = held ? running.request.version : *server.held.rbegin();
    std::string echo = running.request.body;
    if (m_random() % 100 < m_crossedAnswersPercent) {
        ++answer.echoed.value;
        echo = "another request";
    }
    answer.body =
            running.request.group.value + "/" + std::to_string(answer.version.value) + "/" + echo;
    m_time.after(kOneWay, [reply = running.reply, answer] { reply(answer); });
}

void FakeBackends::cancel(const std::string &owner, const CancelBackend &request)
{
    m_time.after(kOneWay, [this, owner, request] {
        Server &server = m_servers.at(request.server);
        const auto found =
                std::find_if(server.running.begin(), server.running.end(), [&](const auto &entry) {
                    const Running &running = entry.second;
                    return running.owner == owner && running.request.send == request.send;
                });
        if (found == server.running.end())
            return;
        BackendFinished answer;
        answer.send = request.send;
        answer.echoed = request.send;
        answer.status = BackendStatus::DeadlinePassed;
        m_time.after(kOneWay, [reply = found->second.reply, answer] { reply(answer); });
        server.running.erase(found);
    });
}

void FakeBackends::kill(const ServerId &server, Duration downtime)
{
    crash(server, downtime);
}

void FakeBackends::crash(const ServerId &name, Duration downtime)
{
    Server &server = m_servers.at(name);
    for (auto &[execution, running] : server.running) {
        const BackendFinished lost {
            running.request.send, BackendStatus::ConnectionLost, {}, {}, {}, {}
        };
        m_time.after(kOneWay, [reply = running.reply, lost] { reply(lost); });
    }
    server.running.clear();
    server.up = false;
    server.answersUntilWarm = kAnswersUntilWarm;
    server.coldKnown = true;
    m_time.after(downtime, [this, name] { m_servers.at(name).up = true; });
}

void FakeBackends::turnCold(const ServerId &name)
{
    Server &server = m_servers.at(name);
    server.answersUntilWarm = kAnswersUntilWarm;
    server.coldKnown = false;
}

void FakeBackends::drain(const ServerId &server, bool draining)
{
    m_servers.at(server).draining = draining;
}

void FakeBackends::loadVersion(const ServerId &server, IndexVersion version)
{
    m_servers.at(server).held.insert(version);
}

void FakeBackends::dropVersionsBelow(const ServerId &server, IndexVersion version)
{
    std::erase_if(m_servers.at(server).held, [&](IndexVersion held) { return held < version; });
}

int FakeBackends::executions(const std::string &body) const
{
    const auto found = m_executions.find(body);
    return found == m_executions.end() ? 0 : found->second;
}

MonotonicTime FakeBackends::lastStart(const ServerId &server) const
{
    return m_servers.at(server).lastStart;
}

} // namespace greengagestair
