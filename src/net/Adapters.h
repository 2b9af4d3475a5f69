#pragma once

#include "greengagestair/Effect.h"
#include "greengagestair/Event.h"

namespace greengagestair {

/** Takes events from any thread for the event loop. */
class EventQueue
{
public:
    virtual ~EventQueue() = default;
    virtual void post(Event event) = 0;
};

/** Connections to other entry hosts. */
class PeerTransport
{
public:
    virtual ~PeerTransport() = default;
    virtual void send(const HostId &host, const Endpoint &endpoint, const PeerMessage &message) = 0;
    virtual void stop() = 0;
};

/** Requests to backend servers. */
class BackendClient
{
public:
    virtual ~BackendClient() = default;
    virtual void send(const SendToBackend &request) = 0;
    virtual void cancel(const CancelBackend &request) = 0;
    virtual void stop() = 0;
};

/** Calls to the platform. */
class PlatformClient
{
public:
    virtual ~PlatformClient() = default;
    virtual void call(const CallPlatform &request) = 0;
    virtual void stop() = 0;
};

/** The HTTP front end that callers talk to. */
class CallerFrontEnd
{
public:
    virtual ~CallerFrontEnd() = default;
    virtual void answer(const AnswerCaller &answer) = 0;
    virtual void stop() = 0;
};

} // namespace greengagestair
