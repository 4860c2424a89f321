#pragma once

#include "Transport/TimerService.h"

#include <asio/io_context.hpp>

namespace Cranberrymount {

/** Timers on an Asio context; callbacks run on the threads that run this context. */
class AsioTimerService : public TimerService
{
public:
    explicit AsioTimerService(asio::io_context &context);

    Instant now() const override;
    void after(Duration delay, std::function<void()> callback) override;

private:
    asio::io_context &m_context;
};

} // namespace Cranberrymount
