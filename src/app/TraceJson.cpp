#include "app/TraceJson.h"

#include "net/Description.h"

#include <boost/core/type_name.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/error.hpp>
#include <boost/mp11.hpp>
#include <boost/pfr/tuple_size.hpp>

namespace greengagestair {

namespace json = boost::json;
namespace describe = boost::describe;

/** Member that names the alternative of a variant. */
static constexpr std::string_view kTypeKey = "type";

template <typename Struct>
using Members = describe::describe_members<Struct, describe::mod_public>;

template <typename Struct>
concept Described = describe::has_describe_members<Struct>::value;

template <typename Enum>
concept DescribedEnum = describe::has_describe_enumerators<Enum>::value;

template <typename Type>
concept Time = std::is_same_v<Type, Duration> || std::is_same_v<
        Type, MonotonicTime> || std::is_same_v<Type, WallTime>;

/** Name of a type without its namespace. */
template <typename Type>
static const std::string &typeName()
{
    static const std::string kName = [] {
        const std::string full = boost::core::type_name<Type>();
        return full.substr(full.rfind(':') + 1);
    }();
    return kName;
}

// All overloads are declared first, since they call each other for nested types.
static json::value toJson(const std::string &text);
template <typename Arithmetic>
requires std::is_arithmetic_v<Arithmetic>
static json::value toJson(Arithmetic number);
template <Time Type>
static json::value toJson(Type time);
template <DescribedEnum Enum>
static json::value toJson(Enum value);
template <typename Tag>
static json::value toJson(const Name<Tag> &name);
template <typename Tag>
static json::value toJson(const Number<Tag> &number);
template <typename Item>
static json::value toJson(const std::optional<Item> &item);
template <typename Item>
static json::value toJson(const std::vector<Item> &items);
template <Described Struct>
static json::value toJson(const Struct &object);
template <typename... Alternatives>
static json::value toJson(const std::variant<Alternatives...> &variant);

static json::value toJson(const std::string &text)
{
    return json::string(text);
}

template <typename Arithmetic>
requires std::is_arithmetic_v<Arithmetic>
static json::value toJson(Arithmetic number)
{
    return number;
}

static Duration sinceEpoch(Duration duration)
{
    return duration;
}

template <typename TimePoint>
static Duration sinceEpoch(TimePoint time)
{
    return time.time_since_epoch();
}

template <Time Type>
static json::value toJson(Type time)
{
    return sinceEpoch(time).count();
}

template <DescribedEnum Enum>
static json::value toJson(Enum value)
{
    return json::string(describe::enum_to_string(value, ""));
}

template <typename Tag>
static json::value toJson(const Name<Tag> &name)
{
    return json::string(name.value);
}

template <typename Tag>
static json::value toJson(const Number<Tag> &number)
{
    return number.value;
}

template <typename Item>
static json::value toJson(const std::optional<Item> &item)
{
    return item ? toJson(*item) : json::value(nullptr);
}

template <typename Item>
static json::value toJson(const std::vector<Item> &items)
{
    json::array array;
    array.reserve(items.size());
    for (const Item &item : items)
        array.push_back(toJson(item));
    return array;
}

template <Described Struct>
static json::value toJson(const Struct &object)
{
    static_assert(boost::pfr::tuple_size_v<Struct> == boost::mp11::mp_size<Members<Struct>>::value,
                  "a member is missing in net/Description.h");
    json::object members;
    boost::mp11::mp_for_each<Members<Struct>>(
            [&](auto member) { members[member.name] = toJson(object.*member.pointer); });
    return members;
}

template <typename... Alternatives>
static json::value toJson(const std::variant<Alternatives...> &variant)
{
    return std::visit(
            []<typename Alternative>(const Alternative &alternative) -> json::value {
                json::value value = toJson(alternative);
                value.as_object()[kTypeKey] = typeName<Alternative>();
                return value;
            },
            variant);
}

// The decoders return false if the JSON has another form than the encoders give.
static bool fromJson(const json::value &value, std::string &text);
static bool fromJson(const json::value &value, bool &flag);
static bool fromJson(const json::value &value, double &number);
template <typename Integer>
requires std::is_integral_v<Integer>
static bool fromJson(const json::value &value, Integer &number);
template <Time Type>
static bool fromJson(const json::value &value, Type &time);
template <DescribedEnum Enum>
static bool fromJson(const json::value &value, Enum &result);
template <typename Tag>
static bool fromJson(const json::value &value, Name<Tag> &name);
template <typename Tag>
static bool fromJson(const json::value &value, Number<Tag> &number);
template <typename Item>
static bool fromJson(const json::value &value, std::optional<Item> &item);
template <typename Item>
static bool fromJson(const json::value &value, std::vector<Item> &items);
template <Described Struct>
static bool fromJson(const json::value &value, Struct &object);
template <typename... Alternatives>
static bool fromJson(const json::value &value, std::variant<Alternatives...> &variant);

static bool fromJson(const json::value &value, std::string &text)
{
    if (!value.is_string())
        return false;
    text = std::string(value.get_string());
    return true;
}

static bool fromJson(const json::value &value, bool &flag)
{
    if (!value.is_bool())
        return false;
    flag = value.get_bool();
    return true;
}

static bool fromJson(const json::value &value, double &number)
{
    json::error_code error;
    number = value.to_number<double>(error);
    return !error;
}

template <typename Integer>
requires std::is_integral_v<Integer>
static bool fromJson(const json::value &value, Integer &number)
{
    json::error_code error;
    number = value.to_number<Integer>(error);
    return !error;
}

template <Time Type>
static bool fromJson(const json::value &value, Type &time)
{
    Duration::rep count = 0;
    if (!fromJson(value, count))
        return false;
    time = Type(Duration(count));
    return true;
}

template <DescribedEnum Enum>
static bool fromJson(const json::value &value, Enum &result)
{
    return value.is_string()
            && describe::enum_from_string(std::string(value.get_string()).c_str(), result);
}

template <typename Tag>
static bool fromJson(const json::value &value, Name<Tag> &name)
{
    return fromJson(value, name.value);
}

template <typename Tag>
static bool fromJson(const json::value &value, Number<Tag> &number)
{
    return fromJson(value, number.value);
}

template <typename Item>
static bool fromJson(const json::value &value, std::optional<Item> &item)
{
    item.reset();
    return value.is_null() || fromJson(value, item.emplace());
}

template <typename Item>
static bool fromJson(const json::value &value, std::vector<Item> &items)
{
    if (!value.is_array())
        return false;
    items.clear();
    for (const json::value &element : value.get_array()) {
        if (!fromJson(element, items.emplace_back()))
            return false;
    }
    return true;
}

template <Described Struct>
static bool fromJson(const json::value &value, Struct &object)
{
    if (!value.is_object())
        return false;
    bool isCorrect = true;
    boost::mp11::mp_for_each<Members<Struct>>([&](auto member) {
        const json::value *found = value.get_object().if_contains(member.name);
        isCorrect = isCorrect && found && fromJson(*found, object.*member.pointer);
    });
    return isCorrect;
}

template <typename... Alternatives>
static bool fromJson(const json::value &value, std::variant<Alternatives...> &variant)
{
    if (!value.is_object())
        return false;
    const json::value *type = value.get_object().if_contains(kTypeKey);
    if (!type || !type->is_string())
        return false;
    const std::string name(type->get_string());
    const auto tryOne = [&]<typename Alternative>(boost::mp11::mp_identity<Alternative>) {
        return name == typeName<Alternative>()
                && fromJson(value, variant.template emplace<Alternative>());
    };
    return (tryOne(boost::mp11::mp_identity<Alternatives> {}) || ...);
}

std::string encodeOptions(const ReducerOptions &options)
{
    return json::serialize(json::object { { "options", toJson(options) } });
}

std::string encodeEvent(const Event &event)
{
    return json::serialize(toJson(event));
}

std::string encodeEffects(const Effects &effects)
{
    return json::serialize(toJson(effects));
}

std::string encodeStepBegin(const Instant &instant, const Event &event)
{
    json::object step;
    step["now"] = toJson(instant.now);
    step["wall"] = toJson(instant.wall);
    step["event"] = toJson(event);
    std::string line = json::serialize(step);
    line.pop_back();
    return line + R"(,"effects":)";
}

std::string encodeStepEnd(const Effects &effects)
{
    return encodeEffects(effects) + "}";
}

std::string encodeStep(const Instant &instant, const Event &event, const Effects &effects)
{
    return encodeStepBegin(instant, event) + encodeStepEnd(effects);
}

/** Bodies are recorded as they came, so they may be invalid UTF-8. */
static json::value parseLine(std::string_view line)
{
    json::parse_options options;
    options.allow_invalid_utf8 = true;
    json::error_code error;
    json::value value = json::parse(line, error, {}, options);
    return error ? json::value(nullptr) : value;
}

template <typename Type>
static bool readMember(const json::value &value, std::string_view key, Type &member)
{
    const json::value *found = value.is_object() ? value.get_object().if_contains(key) : nullptr;
    return found && fromJson(*found, member);
}

boost::leaf::result<ReducerOptions> decodeOptions(std::string_view line)
{
    ReducerOptions options;
    if (!readMember(parseLine(line), "options", options))
        return boost::leaf::new_error(TraceMalformed { "the options of the reducer" });
    return options;
}

boost::leaf::result<TraceStep> decodeStep(std::string_view line)
{
    const json::value value = parseLine(line);
    boost::leaf::result<TraceStep> step { TraceStep {} };
    const bool isCorrect = readMember(value, "now", step->instant.now)
            && readMember(value, "wall", step->instant.wall)
            && readMember(value, "event", step->event)
            && readMember(value, "effects", step->effects);
    if (!isCorrect)
        return boost::leaf::new_error(TraceMalformed { "a time, an event and its effects" });
    return step;
}

} // namespace greengagestair
