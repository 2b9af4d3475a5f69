#pragma once

#include "gateway/BackendDirectory.h"
#include "gateway/RoutingConfiguration.h"

#include <memory>
#include <optional>
#include <unordered_map>

namespace greengagestair {

/**
 * Suspects that a backend server's process has been replaced, once a connection to the server was
 * lost or refused. A server that starts again under its identifier and address is cold, but its
 * registration is read up to a second later. While a server is suspected, Backend::mayHaveRestarted
 * is set and BackendSelector limits the requests to it as for a cold server.
 *
 * A suspicion ends when the registration of another process is read, which replaces the Backend. It
 * is refuted when the store still holds the same registration although a new process would have
 * written its own by then. Servers of services that declare no request rate for cold servers are
 * not suspected.
 */
class RestartDetector
{
public:
    explicit RestartDetector(const BackendDirectory &directory);

    /** Sets the configuration that declares the services. */
    void setConfiguration(std::shared_ptr<const RoutingConfiguration> configuration);
    /** Records that a connection to the server was lost or could not be established. */
    void addConnectionLoss(Backend &backend, MonotonicTime now);
    /** Records that the server has answered or accepted a connection. */
    void addContact(const Backend &backend, MonotonicTime now);
    /** Records that all changes of the store up to `now` are known. */
    void addStoreNews(MonotonicTime now);
    /** Ends the suspicions whose servers are warm by now even if they have started again. */
    void advance(MonotonicTime now);
    /** Time at which advance() is due; nullopt if no suspicion ends by time alone. */
    std::optional<MonotonicTime> nextWakeUp() const;

private:
    struct Suspicion
    {
        MonotonicTime lostAt;
        std::optional<MonotonicTime> reachedAt; ///< first contact since `lostAt`
        std::optional<MonotonicTime> warmAt;    ///< a process that started by `reachedAt` is warm
    };

    /** The declaration of the server's service if it limits requests to cold servers, or null. */
    const BackendService *coldLimitOf(const Backend &backend) const;
    /** Ends the suspicions that `isRefuted` holds for, and those of servers that were replaced. */
    template <typename Predicate>
    void endWhere(Predicate isRefuted);

    const BackendDirectory &m_directory;
    std::shared_ptr<const RoutingConfiguration> m_configuration;
    std::unordered_map<ServerId, Suspicion> m_suspicions;
};

} // namespace greengagestair
