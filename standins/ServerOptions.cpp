#include "standins/ServerOptions.h"

#include <boost/json.hpp>

namespace greengagestair::standins {

namespace json = boost::json;

template <typename Number>
static void take(const json::object &fields, const char *name, Number &target)
{
    if (const auto *field = fields.if_contains(name))
        target = field->to_number<Number>();
}

template <typename Period>
static void takeMs(const json::object &fields, const char *name,
                   std::chrono::duration<std::int64_t, Period> &target)
{
    using Target = std::chrono::duration<std::int64_t, Period>;
    using Milliseconds = std::chrono::duration<double, std::milli>;
    if (const auto *field = fields.if_contains(name))
        target = std::chrono::duration_cast<Target>(Milliseconds(field->to_number<double>()));
}

void ServerOptions::apply(const json::object &fields)
{
    take(fields, "slots", slots);
    take(fields, "waitingPlaces", waitingPlaces);
    take(fields, "connectionLimit", connectionLimit);
    takeMs(fields, "connectionCostMs", connectionCost);
    takeMs(fields, "serviceTimeMs", serviceTime);
    take(fields, "serviceSigma", serviceSigma);
    take(fields, "stragglerShare", stragglerShare);
    take(fields, "stragglerFactor", stragglerFactor);
    take(fields, "coldLimit", coldLimit);
    take(fields, "coldSlowdown", coldSlowdown);
    take(fields, "warmAnswers", warmAnswers);
    takeMs(fields, "downMs", downTime);
    takeMs(fields, "coldNoticeMs", coldNotice);
    takeMs(fields, "leaveGraceMs", leaveGrace);
    if (const auto *field = fields.if_contains("startsCold"))
        startsCold = field->as_bool();
}

} // namespace greengagestair::standins
