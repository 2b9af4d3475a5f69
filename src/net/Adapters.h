#pragma once

#include "greengagestair/Effect.h"
#include "greengagestair/Event.h"

namespace greengagestair {

/**
 * Queue through which all threads of the process pass events to the event loop, which hands them to
 * the reducer. post() is thread-safe.
 */
class EventQueue
{
public:
    virtual ~EventQueue() = default;
    /** Appends an event; may be called from any thread. */
    virtual void post(Event event) = 0;
};

/**
 * Carries messages to and from other entry hosts. The event loop calls send() for each SendToPeer
 * effect; received messages are posted as PeerReceived and lost connections as PeerLost.
 */
class PeerTransport
{
public:
    virtual ~PeerTransport() = default;
    /** Queues a message for the host at this endpoint. Delivery is not guaranteed. */
    virtual void send(const HostId &host, const Endpoint &endpoint, const PeerMessage &message) = 0;
    /** Stops receiving; messages that are already queued may still be sent. */
    virtual void stop() = 0;
};

/**
 * Sends requests to backend servers. The event loop calls it for the SendToBackend and
 * CancelBackend effects; the result of each request is posted as one BackendFinished.
 */
class BackendClient
{
public:
    virtual ~BackendClient() = default;
    /** Starts one request to a backend server. */
    virtual void send(const SendToBackend &request) = 0;
    /** Asks the backend server to cancel a request that was sent before. */
    virtual void cancel(const CancelBackend &request) = 0;
    /** Ends all requests in flight. */
    virtual void stop() = 0;
};

/**
 * Calls the platform, which stores keys and the host list. The event loop calls it for each
 * CallPlatform effect; the result of each call is posted as one PlatformFinished.
 */
class PlatformClient
{
public:
    virtual ~PlatformClient() = default;
    /** Starts one call. */
    virtual void call(const CallPlatform &request) = 0;
    /** Ends all calls in flight. */
    virtual void stop() = 0;
};

/**
 * Receives the requests of callers, posts them as CallerRequest and OutcomeQuery events, and sends
 * the answers. The event loop calls answer() for each AnswerCaller effect.
 */
class CallerFrontEnd
{
public:
    virtual ~CallerFrontEnd() = default;
    /** Sends the answer to a caller's request. */
    virtual void answer(const AnswerCaller &answer) = 0;
    /** Closes all connections of callers. */
    virtual void stop() = 0;
};

} // namespace greengagestair
