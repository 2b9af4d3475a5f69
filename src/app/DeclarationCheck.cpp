#include "app/DeclarationCheck.h"

#include <boost/leaf/error.hpp>

#if __has_include("core/DocumentParsers.h")

#include "core/DocumentParsers.h"

#include <boost/leaf/handle_errors.hpp>

namespace greengagestair {

boost::leaf::result<void> checkDeclaration(std::string_view json)
{
    return boost::leaf::try_handle_some(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_CHECK(parseConfiguration(json));
                return {};
            },
            [](const DocumentError &error) -> boost::leaf::result<void> {
                return boost::leaf::new_error(
                        DeclarationProblem { "$." + error.path, error.expected });
            });
}

} // namespace greengagestair

#else

#include <boost/json/parse.hpp>

namespace greengagestair {

// The parser of declarations is written on another branch; this checks the outer form only.
boost::leaf::result<void> checkDeclaration(std::string_view json)
{
    boost::json::error_code error;
    boost::json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    const auto value = boost::json::parse(json, error, {}, options);
    if (error || !value.is_object())
        return boost::leaf::new_error(DeclarationProblem { "$", "a JSON object" });
    const auto *changeId = value.get_object().if_contains("changeId");
    if (!changeId || !changeId->is_string() || changeId->get_string().empty())
        return boost::leaf::new_error(DeclarationProblem { "$.changeId", "a name" });
    return {};
}

} // namespace greengagestair

#endif
