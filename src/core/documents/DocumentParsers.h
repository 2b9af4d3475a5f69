#pragma once

#include "greengagestair/Configuration.h"

#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>

namespace greengagestair {

/** Kind of fault for which a document is rejected. */
enum class DocumentErrorKind {
    Syntax,           ///< the content is not JSON
    MissingKey,       ///< a required key is absent
    UnknownKey,       ///< the object has a key that the format does not define
    WrongType,        ///< the value has another JSON type
    OutOfRange,       ///< a number, or the length of a string or list, is outside its bounds
    BadText,          ///< a string is not a valid name or address or none of the allowed values
    Empty,            ///< a list or string is empty that must not be
    Duplicate,        ///< a name, address or version occurs twice
    UnknownReference, ///< a name refers to something that is not declared
    Inconsistent      ///< two values contradict each other
};

/** The first fault found in a document. */
struct DocumentError
{
    DocumentErrorKind kind = DocumentErrorKind::Syntax;
    std::string path;     ///< e.g. `services[0].groups[1].servers[2].port`; empty: whole document
    std::string expected; ///< what was expected there, e.g. `an integer from 1 to 65535`
};

// The parsers validate the whole content and return a DocumentError for the first fault. The
// formats are described in docs/design.md, section 12.

/** Parses the content of the document `configuration`. */
boost::leaf::result<Configuration> parseConfiguration(std::string_view json);
/** Parses the content of the document `snapshots/<service>`. Whether its groups are declared is not
 * checked here but when a snapshot is used, because the snapshots and the configuration change
 * independently of each other. */
boost::leaf::result<ServiceSnapshots> parseServiceSnapshots(const ServiceId &service,
                                                            std::string_view json);
/** Parses the content of the document `members/<failure domain>`. */
boost::leaf::result<MemberList> parseMemberList(const FailureDomainId &domain,
                                                std::string_view json);
/** Parses the content of the document `hosts`. */
boost::leaf::result<HostList> parseHostList(std::string_view json);
/** Parses the content of the document `quarantine`. */
boost::leaf::result<QuarantineList> parseQuarantineList(std::string_view json);

// Each format function returns JSON text that the corresponding parser reads back to an equal
// value.

/** Formats the content of the document `configuration`. */
std::string formatConfiguration(const Configuration &configuration);
/** Formats the content of the document `snapshots/<service>`. */
std::string formatServiceSnapshots(const ServiceSnapshots &snapshots);
/** Formats the content of the document `members/<failure domain>`. */
std::string formatMemberList(const MemberList &list);
/** Formats the content of the document `hosts`. */
std::string formatHostList(const HostList &list);
/** Formats the content of the document `quarantine`. */
std::string formatQuarantineList(const QuarantineList &list);

} // namespace greengagestair
