#pragma once

#include "greengagestair/Effect.h"
#include "greengagestair/Event.h"

/** Abstract interfaces between the event loop and the adapters to the outside. */
namespace greengagestair {

/** Takes events for the reducer. May be called from any thread. */
class EventQueue
{
public:
    virtual ~EventQueue() = default;
    virtual void post(Event event) = 0;
};

/** Sends messages to other entry hosts. */
class PeerTransport
{
public:
    virtual ~PeerTransport() = default;
    virtual void send(const HostId &host, const Endpoint &endpoint, const PeerMessage &message) = 0;
    virtual void stop() = 0;
};

/** Sends requests to backend servers; posts exactly one BackendFinished for each. */
class BackendClient
{
public:
    virtual ~BackendClient() = default;
    virtual void send(const SendToBackend &request) = 0;
    virtual void cancel(const CancelBackend &request) = 0;
    virtual void stop() = 0;
};

/** Calls the platform; posts exactly one PlatformFinished for each call. */
class PlatformClient
{
public:
    virtual ~PlatformClient() = default;
    virtual void call(const CallPlatform &request) = 0;
    virtual void stop() = 0;
};

/** Answers callers. */
class CallerFrontEnd
{
public:
    virtual ~CallerFrontEnd() = default;
    virtual void answer(const AnswerCaller &answer) = 0;
    virtual void stop() = 0;
};

} // namespace greengagestair
