#pragma once

#include "Coordination/ControlPlane.h"

namespace Cranberrymount {

/** An HTTP response with a JSON body. */
struct JsonResponse
{
    int status = 200;
    Json body;
};

/**
 * @param done called with the response
 * @param handle handles the replies of entries and then calls @p done
 * @return a callback for ControlPlane::gather(): if a reply is malformed, so that @p handle fails,
 * it responds with an error
 */
std::function<void(const GatheredReplies &)>
answering(std::function<void(JsonResponse)> done,
          std::function<void(const GatheredReplies &)> handle);

} // namespace Cranberrymount
