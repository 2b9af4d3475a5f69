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
 * Prevents a request that crashes backend servers from reaching more than two of them.
 *
 * Equal requests have the same signature. The entry role calls plan() before it sends parts of a
 * signature. The owner role calls mayRun() before it sends a part to a server, and reports lost
 * servers. Losses are written to the document `quarantine`, which all entry hosts read.
 */
class Quarantine : public SignatureAdmission
{
public:
    /** How the entry role may send the parts of a request. */
    struct Plan
    {
        enum class Kind {
            FanOut,   ///< all parts at once
            Canary,   ///< one part to `server` first, the others after its answer
            Isolated, ///< as Canary, and `server` runs no other part meanwhile
            Pending,  ///< no part now: a loss is not in the document yet
            Refuse    ///< no part: the signature is quarantined
        };

        Kind kind = Kind::FanOut;
        ServerId server; ///< for Canary and Isolated; empty if no candidate accepts new work
    };

    Quarantine(const ReducerOptions &options, DocumentView &documents, DocumentWriter &writer);

    /** Plans a request to the given groups. Does not choose a server that is in `tried`. */
    Plan plan(Signature signature, IndexVersion version, const std::vector<const Group *> &groups,
              const std::vector<ServerId> &tried) const;
    /**
     * Records that a part of this signature was answered from this snapshot. Called by the entry
     * role.
     */
    void partAnswered(Signature signature, IndexVersion version);
    /**
     * Records that a server was lost while a part of this signature was in flight. Called by the
     * entry role.
     */
    void partLost(StepContext &context, Signature signature, const ServerId &server);
    /**
     * Records a loss that another owner has reported. The signature gets no attempt until the
     * document contains the loss.
     */
    void peerReportedLoss(StepContext &context, const SignatureLoss &loss);
    /**
     * Records that an owner refused a part because a loss is not in the document yet. Called by the
     * entry role.
     */
    void partRefused(StepContext &context, Signature signature);
    /** A number that changes whenever the result of plan() may have changed. */
    std::uint64_t generation() const { return m_generation; }

    /** Whether the owner role must refuse parts of this signature now, as `quarantined`. */
    bool isBlocked(Signature signature) const;
    void serverLost(StepContext &context, const ServerId &server,
                    const std::vector<Signature> &trialSignatures) override;
    void signatureAnswered(StepContext &context, Signature signature) override;
    bool mayRun(Signature signature, bool isolated) const override;

    /** Adopts a changed document, removes expired losses and writes the updates that are due. */
    void onTick(StepContext &context);
    /** Time at which onTick() has work to do if no event comes before; kNever if it has none. */
    MonotonicTime nextWakeUp() const { return m_wakeUpAt; }
    /** State of the entries and losses as a JSON object, for the reducer's dump. */
    boost::json::object dump(MonotonicTime now) const;

private:
    /** Servers lost to one signature that the document may not contain yet. */
    struct LocalLoss
    {
        enum class State { ToWrite, Writing, Written };

        State state = State::ToWrite;
        std::vector<ServerId> servers; ///< empty if an owner refused a part without naming them
        MonotonicTime writeAt;
        MonotonicTime expiresAt = kNever;
    };

    const QuarantineEntry *findEntry(Signature signature) const;
    const LocalLoss *findLoss(Signature signature) const;
    std::vector<ServerId> lostServers(Signature signature) const;
    bool isPending(Signature signature) const;
    bool isSuspect(Signature signature) const;
    /** The candidate with the highest rendezvous score that accepts new work; empty if none. */
    ServerId highestRankedServer(Signature signature, const std::vector<const Group *> &groups,
                                 const std::vector<ServerId> &excluded) const;
    /**
     * The server for an isolated part: the highest-ranked one in the groups of the lost servers, or
     * in all groups if those have none. All hosts and all queries use the same one, since a
     * different choice could lose a third server.
     */
    ServerId isolatedServer(Signature signature, const std::vector<const Group *> &groups,
                            const std::vector<ServerId> &tried) const;
    void addLoss(StepContext &context, Signature signature, const ServerId &server,
                 MonotonicTime writeAt);
    /**
     * Sends a loss to every member of all cells. During an outage of the platform the document
     * cannot contain the loss, and the owner that detected it may be replaced. Losses are rare, so
     * the number of messages is small.
     */
    void broadcastLoss(StepContext &context, const SignatureLoss &loss) const;
    void adoptDocument(StepContext &context);
    void removeDocumentedLosses();
    void removeExpiredLosses(MonotonicTime now);
    void writeDueUpdates(StepContext &context);
    QuarantineUpdate takeUpdate(StepContext &context);
    void finishWrite(StepContext &context, const QuarantineUpdate &update, bool accepted);
    void updateWakeUp();

    const ReducerOptions &m_options;
    DocumentView &m_documents;
    DocumentWriter &m_writer;
    RecentSet m_knownGood; ///< knownGoodKey() of what was answered to queries of this host
    std::unordered_map<Signature, QuarantineEntry>
            m_entries; ///< from the document, without cleared ones
    std::uint64_t m_documentHash = 0;
    std::map<std::uint64_t, LocalLoss> m_losses; ///< by signature
    std::set<std::uint64_t> m_signaturesToClear; ///< suspects whose isolated part was answered
    bool m_writing = false;
    MonotonicTime m_nextWriteAt;
    MonotonicTime m_wakeUpAt = kNever;
    std::uint64_t m_generation = 0;
};

} // namespace greengagestair
