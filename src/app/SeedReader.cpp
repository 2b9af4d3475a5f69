#include "app/SeedReader.h"

#include "net/EndpointText.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace greengagestair {

namespace json = boost::json;

/** Hosts answer from memory; one that does not is down. */
static constexpr Duration kQuestionTimeout = std::chrono::milliseconds(400);
static constexpr Duration kQuestionInterval = std::chrono::milliseconds(150);
/** Bound on an answer: the store's values and their encoding. */
static constexpr std::size_t kMaxAnswerBytes = 16'777'216;

std::string formatSnapshot(const StoreChanges &snapshot)
{
    json::array entries;
    for (const std::string &entry : snapshot.entries)
        entries.emplace_back(entry);
    return json::serialize(json::object { { "revision", snapshot.position.revision.value },
                                          { "era", snapshot.position.era.value },
                                          { "entries", entries } });
}

/** Reads an unsigned number; nullopt if `value` is something else. */
static std::optional<std::uint64_t> readUnsigned(const json::value &value)
{
    json::error_code error;
    const auto number = value.to_number<std::uint64_t>(error);
    return error ? std::nullopt : std::optional(number);
}

std::optional<StoreChanges> parseSnapshot(const std::string &text)
{
    json::error_code error;
    const json::value value = json::parse(text, error);
    const json::object *object = error ? nullptr : value.if_object();
    const json::value *revisionField = object ? object->if_contains("revision") : nullptr;
    const json::value *entries = object ? object->if_contains("entries") : nullptr;
    if (!revisionField || !entries || !entries->is_array())
        return std::nullopt;
    // Hosts of earlier versions do not state the era.
    const json::value *eraField = object->if_contains("era");
    const auto revision = readUnsigned(*revisionField);
    const auto era = eraField ? readUnsigned(*eraField) : 0;
    if (!revision || !era)
        return std::nullopt;
    StoreChanges snapshot { {}, { { *revision }, { *era } }, {} };
    for (const json::value &entry : entries->get_array()) {
        if (!entry.is_string())
            return std::nullopt;
        snapshot.entries.emplace_back(entry.get_string());
    }
    return snapshot;
}

SeedReader::SeedReader(std::vector<Endpoint> seeds, Post post, OnAnswer onAnswer,
                       ResponseObserver &observer)
    : m_seeds(std::move(seeds))
    , m_post(std::move(post))
    , m_onAnswer(std::move(onAnswer))
    , m_observer(observer)
{
}

SeedReader::~SeedReader()
{
    if (m_client)
        m_client->stop();
}

std::optional<MonotonicTime> SeedReader::nextQuestionAt() const
{
    if (m_isAsking || m_seeds.empty())
        return std::nullopt;
    return m_nextQuestionAt;
}

void SeedReader::ask(MonotonicTime now)
{
    if (m_isAsking || m_seeds.empty() || now < m_nextQuestionAt)
        return;
    if (!m_client)
        m_client = std::make_unique<HttpClient>();
    m_isAsking = true;
    m_nextQuestionAt = now + kQuestionInterval;
    HttpRequest request;
    request.method = "GET";
    request.endpoint = m_seeds[m_next++ % m_seeds.size()];
    request.target = "/entries";
    request.deadline = steadyDeadline(kQuestionTimeout);
    request.notAfter = request.deadline;
    request.connectTimeout = kQuestionTimeout;
    request.maxResponseBytes = kMaxAnswerBytes;
    const Endpoint seed = request.endpoint;
    m_client->start(std::move(request), [this, seed](HttpResponse response) {
        m_post([this, seed, response = std::move(response)] { onAnswer(seed, response); });
    });
}

void SeedReader::onAnswer(const Endpoint &seed, const HttpResponse &response)
{
    m_isAsking = false;
    if (response.defect)
        m_observer.onMalformedResponse(
                { ResponseSource::Host, toText(seed), {}, *response.defect });
    constexpr int kOk = 200;
    const bool isOk = response.end == HttpCompletion::Answered && response.status == kOk;
    m_onAnswer(isOk ? parseSnapshot(response.body) : std::nullopt);
}

} // namespace greengagestair
