#include "Service/JsonResponse.h"

#include "Protocol/ProtocolError.h"

#include <glog/logging.h>

namespace Cranberrymount {

namespace {

constexpr int BadGateway = 502;

} // namespace

std::function<void(const GatheredReplies &)>
answering(std::function<void(JsonResponse)> done,
          std::function<void(const GatheredReplies &)> handle)
{
    return [done = std::move(done), handle = std::move(handle)](const GatheredReplies &gathered) {
        std::string fault;
        try {
            return handle(gathered);
        } catch (const Json::exception &error) {
            fault = error.what();
        } catch (const ProtocolError &error) {
            fault = error.what();
        }
        LOG(ERROR) << "event=entry_reply_malformed error=" << fault;
        done({BadGateway, {{"error", "an entry's reply is malformed"}}});
    };
}

} // namespace Cranberrymount
