#pragma once

#include "net/CallerAnswerJson.h"
#include "net/CallerRequestParser.h"
#include "net/HttpFraming.h"

#include <string>

namespace greengagestair {

/** Status, content type and body of an HTTP response of HttpFrontEnd. */
struct HttpAnswer
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
};

/** The answer with a response of the reducer. */
HttpAnswer toAnswer(CallerResponse response);
/** The answer to a request that is refused. */
HttpAnswer toAnswer(const HttpRefusal &refusal);
/** The refusal of a request whose end could not be determined. */
HttpRefusal refusalFor(FramingStatus status);
/** The bytes of an answer as they are sent. */
std::string renderResponse(const HttpAnswer &answer, bool closeAfterwards);

} // namespace greengagestair
