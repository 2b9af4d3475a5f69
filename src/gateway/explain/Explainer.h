#pragma once

#include "gateway/RoutingConfiguration.h"
#include "greengagestair/Types.h"

#include <boost/json/object.hpp>

#include <string>

namespace greengagestair {

class BackendSelector;
class RequestDispatcher;

/** A request that an operator asks about. */
struct ExplainQuery
{
    std::string host;   ///< value of the Host header
    std::string path;   ///< path, possibly with a query
    std::string tenant; ///< name of the tenant whose key the request has; empty: no key
};

/**
 * Describes as JSON where a request would go now and what would refuse it. It reads the state that
 * the decisions are made from, and changes none of it. Keys do not occur in the result.
 */
class Explainer
{
public:
    /** The arguments have to outlive the object. `configuration` may be null. */
    Explainer(const RoutingConfiguration *configuration, const RequestDispatcher &dispatcher,
              const BackendSelector &selector);

    boost::json::object explain(const ExplainQuery &query, MonotonicTime now) const;

private:
    /** Adds the tenant to the result, and the refusal of a request without a valid key. */
    void addTenant(const GatewayRoute &route, const std::string &name,
                   boost::json::object &result) const;
    void addParts(const GatewayRoute &route, MonotonicTime now, boost::json::object &result) const;
    boost::json::object describePart(const ServiceId &name, const GatewayRoute &route,
                                     MonotonicTime now) const;

    const RoutingConfiguration *m_configuration;
    const RequestDispatcher &m_dispatcher;
    const BackendSelector &m_selector;
};

} // namespace greengagestair
