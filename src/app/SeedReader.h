#pragma once

#include "greengagestair/Messages.h"
#include "http/ResponseObserver.h"
#include "net/HttpClient.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace greengagestair {

/** The text of a snapshot as hosts give it to each other: JSON with a revision and entries. */
std::string formatSnapshot(const StoreChanges &snapshot);
/** The reverse; null if the text is malformed. */
std::optional<StoreChanges> parseSnapshot(const std::string &text);

/**
 * Asks other hosts for the store's entries when a process starts while the store does not answer.
 * Hosts are asked in turn, one at a time.
 */
class SeedReader
{
public:
    /** Called after each question; null if the host gave no entries. */
    using OnAnswer = std::function<void(const std::optional<StoreChanges> &snapshot)>;
    /** Hands a function over to the event loop; called on another thread. */
    using Post = std::function<void(std::function<void()> function)>;

    /** `observer` is told of malformed answers on the event loop; it must outlive this object. */
    SeedReader(std::vector<Endpoint> seeds, Post post, OnAnswer onAnswer,
               ResponseObserver &observer);
    ~SeedReader();

    /** Asks the next host unless a question is open or was asked just before. */
    void ask(MonotonicTime now);
    /** When ask() is wanted next; null while a question is open. */
    std::optional<MonotonicTime> nextQuestionAt() const;

private:
    void onAnswer(const Endpoint &seed, const HttpResponse &response);

    std::vector<Endpoint> m_seeds;
    Post m_post;
    OnAnswer m_onAnswer;
    ResponseObserver &m_observer;
    std::unique_ptr<HttpClient> m_client; ///< made for the first question
    std::size_t m_next = 0;
    bool m_isAsking = false;
    MonotonicTime m_nextQuestionAt;
};

} // namespace greengagestair
