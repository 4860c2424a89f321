#include "Transport/TimerService.h"

namespace Cranberrymount {

void TimerService::every(Duration period, std::function<void()> callback)
{
    after(period, [this, period, callback = std::move(callback)]() mutable {
        callback();
        every(period, std::move(callback));
    });
}

} // namespace Cranberrymount
