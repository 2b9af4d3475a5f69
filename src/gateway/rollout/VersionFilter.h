#pragma once

#include <algorithm>
#include <string>
#include <vector>

namespace greengagestair {

/** Software versions of a service to which requests are restricted at the moment. */
struct ServiceVersions
{
    std::string target;                ///< of the roll-out in progress; empty if there is none
    std::vector<std::string> withheld; ///< versions that get no request, except by the roll-out
};

/** Restricts the software version of the server that gets an attempt. */
struct VersionFilter
{
    enum class Group {
        Any,
        Target, ///< only the target version
        Others  ///< all versions that are not withheld
    };
    const ServiceVersions *versions = nullptr; ///< null if Group::Any; valid during one step
    Group group = Group::Any;

    /** True if a server of this version may get the attempt. */
    bool allows(const std::string &version) const
    {
        if (group == Group::Any || !versions)
            return true;
        if (group == Group::Target)
            return version == versions->target;
        return std::find(versions->withheld.begin(), versions->withheld.end(), version)
                == versions->withheld.end();
    }
};

} // namespace greengagestair
