#include "Transport/AsioTimerService.h"

#include "Transport/BootClock.h"

#include <asio/steady_timer.hpp>

#include <memory>

namespace Cranberrymount {

AsioTimerService::AsioTimerService(asio::io_context &context)
    : m_context(context)
{
}

Instant AsioTimerService::now() const
{
    return bootInstant();
}

void AsioTimerService::after(Duration delay, std::function<void()> callback)
{
    auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
    timer->async_wait([timer, callback = std::move(callback)](const asio::error_code &error) {
        if (!error)
            callback();
    });
}

} // namespace Cranberrymount
