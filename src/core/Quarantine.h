#pragma once

#include "core/Interfaces.h"

#include <boost/json/fwd.hpp>

#include <vector>

namespace greengagestair {

/** Keeps a request that crashes backend servers from reaching more than two of them. */
class Quarantine : public SignatureGate
{
public:
    /** How the next attempt of a signature may be made. */
    struct Plan
    {
        enum class Kind {
            FanOut,   ///< no restriction
            Canary,   ///< one part first, on `server`
            Isolated, ///< one part first, on `server`, with nothing beside it
            Pending,  ///< a loss is not yet in the document: no attempt now
            Refuse    ///< quarantined
        };

        Kind kind = Kind::FanOut;
        ServerId server; ///< empty if no candidate accepts work
    };

    Quarantine(const ReducerOptions &options, DocumentView &documents, DocumentWriter &writer);

    /** Plans for a request to the given groups; servers in `tried` are passed over. */
    Plan plan(Signature signature, IndexVersion version, const std::vector<const Group *> &groups,
              const std::vector<ServerId> &tried) const;
    /** Entry role: a part of this signature was answered from this snapshot. */
    void partAnswered(Signature signature, IndexVersion version);
    /** Entry role: a server was lost with a part of this signature in flight. */
    void partLost(StepContext &context, Signature signature, const ServerId &server);
    /** Entry role: an owner refused a part because a loss is not yet in the document. */
    void partRefused(StepContext &context, Signature signature);
    /** Changes whenever plans may have changed. */
    std::uint64_t generation() const { return m_generation; }

    void serverLost(StepContext &context, const ServerId &server,
                    const std::vector<Signature> &inFlight) override;
    void signatureAnswered(StepContext &context, Signature signature) override;
    bool mayRun(Signature signature, bool isolated) const override;

    void onTick(StepContext &context);
    MonotonicTime nextWakeUp() const;
    boost::json::object dump(MonotonicTime now) const;

private:
    std::uint64_t m_generation = 0;
};

} // namespace greengagestair
