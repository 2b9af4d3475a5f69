#pragma once

#include <boost/json/fwd.hpp>

#include <chrono>

namespace greengagestair::standins {

/** Behaviour of one simulated backend server; see `apply` for the names of the JSON fields. */
struct ServerOptions
{
    int slots = 1;           ///< requests that run at a time
    int waitingPlaces = 4;   ///< requests that may wait for a slot; more are shed
    int connectionLimit = 1; ///< further connections are reset
    std::chrono::microseconds connectionCost { 1000 }; ///< per new connection
    std::chrono::microseconds serviceTime { 5000 };    ///< median
    double serviceSigma = 0.2;                         ///< of the logarithm of the service time
    double stragglerShare = 0;                         ///< share of the requests that take longer
    double stragglerFactor = 20;                       ///< by this factor
    int coldLimit = 1;       ///< requests that a cold server bears at a time
    double coldSlowdown = 3; ///< factor of the service time while cold
    int warmAnswers = 16;    ///< answers after which the server is warm
    bool startsCold = false;
    std::chrono::milliseconds downTime { 1000 }; ///< refuses connections after it fell over
    /**
     * A warm server that turns cold by itself answers 503 `cold` above the cold limit for this
     * long, and falls over above the limit afterwards: no client can know of the change before an
     * answer tells it.
     */
    std::chrono::milliseconds coldNotice { 500 };
    std::chrono::milliseconds leaveGrace { 3000 }; ///< work later than this after leaving is wrong

    /** Takes the fields that are present; throws on a field of the wrong type. */
    void apply(const boost::json::object &fields);
};

} // namespace greengagestair::standins
