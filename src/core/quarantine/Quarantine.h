#pragma once

#include "core/Interfaces.h"
#include "core/quarantine/QuarantineUpdate.h"
#include "core/quarantine/RecentSet.h"

#include <boost/json/fwd.hpp>

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace greengagestair {

/**
 * Keeps a request that crashes backend servers from reaching more than two of them. Serves both
 * roles: the entry role asks how a signature may be sent, the owner role whether it may run, and
 * reports lost servers.
 */
class Quarantine : public SignatureAdmission
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
    /** Another owner lost a server; holds the signature back until the document shows the loss. */
    void peerReportedLoss(StepContext &context, const SignatureLoss &loss);
    /** Entry role: an owner refused a part because a loss is not yet in the document. */
    void partRefused(StepContext &context, Signature signature);
    /** Changes whenever plans may have changed. */
    std::uint64_t generation() const { return m_generation; }

    /** Owner role: the signature gets no attempt now; its parts are refused as `quarantined`. */
    bool isBlocked(Signature signature) const;
    void serverLost(StepContext &context, const ServerId &server,
                    const std::vector<Signature> &onTrial) override;
    void signatureAnswered(StepContext &context, Signature signature) override;
    bool mayRun(Signature signature, bool isolated) const override;

    void onTick(StepContext &context);
    MonotonicTime nextWakeUp() const { return m_wakeUpAt; }
    boost::json::object dump(MonotonicTime now) const;

private:
    /** A loss that the document may not show yet. */
    struct LocalLoss
    {
        enum class State { ToWrite, Writing, Written };

        State state = State::ToWrite;
        std::vector<ServerId> servers; ///< empty if only an owner knows them
        MonotonicTime writeAt;
        MonotonicTime expiresAt = kNever;
    };

    const QuarantineEntry *findEntry(Signature signature) const;
    const LocalLoss *findLoss(Signature signature) const;
    std::vector<ServerId> lostServers(Signature signature) const;
    bool isPending(Signature signature) const;
    bool isSuspect(Signature signature) const;
    ServerId firstInOrder(Signature signature, const std::vector<const Group *> &groups,
                          const std::vector<ServerId> &passedOver) const;
    ServerId isolatedServer(Signature signature, const std::vector<const Group *> &groups,
                            const std::vector<ServerId> &tried) const;
    void addLoss(StepContext &context, Signature signature, const ServerId &server,
                 MonotonicTime writeAt);
    void tellPeers(StepContext &context, const SignatureLoss &loss) const;
    void adoptDocument(StepContext &context);
    void dropShownLosses();
    void dropExpiredLosses(MonotonicTime now);
    void writeDue(StepContext &context);
    QuarantineUpdate takeUpdate(StepContext &context);
    void finishWrite(StepContext &context, const QuarantineUpdate &update, bool accepted);
    void updateWakeUp();

    const ReducerOptions &m_options;
    DocumentView &m_documents;
    DocumentWriter &m_writer;
    RecentSet m_knownGood; ///< signature and version, answered for queries of this host
    std::unordered_map<Signature, QuarantineEntry> m_entries; ///< of the document
    std::uint64_t m_documentHash = 0;
    std::map<std::uint64_t, LocalLoss> m_losses; ///< by signature
    std::set<std::uint64_t> m_toClear;           ///< signatures
    bool m_writing = false;
    MonotonicTime m_nextWriteAt;
    MonotonicTime m_wakeUpAt = kNever;
    std::uint64_t m_generation = 0;
};

} // namespace greengagestair
