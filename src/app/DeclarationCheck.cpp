#include "app/DeclarationCheck.h"

#include "core/documents/DocumentParsers.h"

#include <boost/leaf/error.hpp>
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
