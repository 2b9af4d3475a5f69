#pragma once

#include "greengagestair/Configuration.h"

#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>

namespace greengagestair {

/** Why the content of a document is refused. */
enum class DocumentErrorKind {
    Syntax,           ///< not JSON
    MissingKey,       ///< a required key is absent
    UnknownKey,       ///< a key that the format does not have
    WrongType,        ///< the value has another JSON type
    OutOfRange,       ///< a number or the length of a text is outside its bounds
    BadText,          ///< a text is not a name, an address or one of the allowed words
    Empty,            ///< a list that needs an entry has none
    Duplicate,        ///< a name, address or version occurs twice
    UnknownReference, ///< a name that is not declared
    Inconsistent      ///< two values contradict each other
};

/** First fault found in a document. */
struct DocumentError
{
    DocumentErrorKind kind = DocumentErrorKind::Syntax;
    std::string path; ///< e.g. `services[0].groups[1].servers[2].port`; empty for the whole text
    std::string expected; ///< e.g. `a number from 1 to 65535`
};

/** Parsers of document contents (formats in docs/design.md, section 12). Errors: DocumentError. */
boost::leaf::result<Configuration> parseConfiguration(std::string_view json);
/** Whether the groups exist is checked when a snapshot is used: both documents change alone. */
boost::leaf::result<ServiceSnapshots> parseServiceSnapshots(const ServiceId &service,
                                                            std::string_view json);
boost::leaf::result<MemberList> parseMemberList(const FailureDomainId &domain,
                                                std::string_view json);
boost::leaf::result<HostList> parseHostList(std::string_view json);
boost::leaf::result<QuarantineList> parseQuarantineList(std::string_view json);

/** Contents that the parsers above read back to equal values. */
std::string formatConfiguration(const Configuration &configuration);
std::string formatServiceSnapshots(const ServiceSnapshots &snapshots);
std::string formatMemberList(const MemberList &list);
std::string formatHostList(const HostList &list);
std::string formatQuarantineList(const QuarantineList &list);

} // namespace greengagestair
