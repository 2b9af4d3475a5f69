#pragma once

#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>

namespace greengagestair {

/** A declaration that no host would accept. */
struct DeclarationProblem
{
    std::string path; ///< JSON path
    std::string expected;
};

/** Checks a configuration as the hosts do. Fails with DeclarationProblem. */
boost::leaf::result<void> checkDeclaration(std::string_view json);

} // namespace greengagestair
