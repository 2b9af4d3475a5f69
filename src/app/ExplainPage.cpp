#include "app/ExplainPage.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <curl/curl.h>

#include <algorithm>
#include <iomanip>
#include <memory>
#include <sstream>

namespace greengagestair {

namespace json = boost::json;

static constexpr std::string_view kPage = "/explain?";

namespace {

struct CurlDeleter
{
    void operator()(char *text) const { curl_free(text); }
};
using CurlText = std::unique_ptr<char, CurlDeleter>;

} // namespace

static std::string escaped(const std::string &text)
{
    const CurlText result(curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size())));
    return result ? result.get() : "";
}

static std::string unescaped(std::string_view text)
{
    int length = 0;
    const CurlText result(
            curl_easy_unescape(nullptr, text.data(), static_cast<int>(text.size()), &length));
    return result ? std::string(result.get(), static_cast<std::size_t>(length)) : std::string();
}

std::string explainTarget(const ExplainQuery &query)
{
    std::string target =
            std::string(kPage) + "host=" + escaped(query.host) + "&path=" + escaped(query.path);
    if (!query.tenant.empty())
        target += "&tenant=" + escaped(query.tenant);
    return target;
}

std::optional<ExplainQuery> parseExplainTarget(std::string_view target)
{
    if (!target.starts_with(kPage))
        return std::nullopt;
    target.remove_prefix(kPage.size());
    ExplainQuery query;
    while (!target.empty()) {
        const std::string_view field = target.substr(0, target.find('&'));
        target.remove_prefix(std::min(field.size() + 1, target.size()));
        const std::size_t equals = field.find('=');
        if (equals == std::string_view::npos || equals + 1 == field.size())
            continue;
        const std::string_view name = field.substr(0, equals);
        const std::string value = unescaped(field.substr(equals + 1));
        if (name == "host")
            query.host = value;
        else if (name == "path")
            query.path = value;
        else if (name == "tenant")
            query.tenant = value;
    }
    if (query.host.empty() || query.path.empty())
        return std::nullopt;
    return query;
}

/** A text without quotes; any other value as in JSON. */
static std::string plain(const json::value &value)
{
    return value.is_string() ? std::string(value.as_string()) : json::serialize(value);
}

static void writeTenant(const json::value &tenant, std::ostream &out)
{
    if (tenant.is_null())
        return;
    out << "tenant: " << plain(tenant.at("name")) << ", rate " << plain(tenant.at("ratePerSecond"))
        << " per second, burst " << plain(tenant.at("burst")) << ", room left ";
    out << (tenant.at("room").is_null() ? "unknown" : plain(tenant.at("room"))) << "\n";
}

static void writeServer(const json::value &server, std::ostream &out)
{
    const double millis =
            static_cast<double>(server.at("costMicros").to_number<std::int64_t>()) / 1000;
    out << "  " << std::left << std::setw(24) << plain(server.at("server")) << " " << std::setw(12)
        << plain(server.at("failureDomain")) << std::right << std::fixed << std::setprecision(1)
        << std::setw(9) << millis << " ms";
    const json::array &exclusions = server.at("excludedBy").as_array();
    for (std::size_t i = 0; i < exclusions.size(); ++i)
        out << (i == 0 ? "  excluded: " : ", ") << plain(exclusions[i]);
    out << "\n";
}

static void writePart(const json::value &part, std::ostream &out)
{
    out << "part " << plain(part.at("service")) << ": ";
    if (!part.at("next").is_null())
        out << "goes to " << plain(part.at("next")) << "\n";
    else
        out << (part.at("waits").as_bool() ? "waits for a server\n" : "no server\n");
    for (const json::value &server : part.at("servers").as_array())
        writeServer(server, out);
}

std::string explanationText(const json::object &explanation)
{
    std::ostringstream out;
    const json::value &route = explanation.at("route");
    out << "route: " << (route.is_null() ? "none" : plain(route)) << "\n";
    writeTenant(explanation.at("tenant"), out);
    for (const json::value &part : explanation.at("parts").as_array())
        writePart(part, out);
    const json::array &refusals = explanation.at("refusals").as_array();
    for (const json::value &refusal : refusals)
        out << "refused: " << plain(refusal.at("reason")) << " (" << plain(refusal.at("cause"))
            << ")\n";
    if (refusals.empty())
        out << "nothing refuses it\n";
    return out.str();
}

} // namespace greengagestair
