#pragma once

#include "Transport/HttpServer.h"

#include <atomic>
#include <csignal>
#include <thread>

namespace Cranberrymount {

/**
 * Serves HTTP requests on @p port with @p standin.handle and calls @p standin.tick once per
 * @p tickPeriod, until the process receives SIGTERM or SIGINT.
 */
template <typename Standin>
void serveUntilSignal(Standin &standin, uint16_t port, const HttpServerLimits &limits,
                      Duration tickPeriod)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const HttpServer server({"127.0.0.1", port}, limits,
                            [&standin](const HttpRequest &request, const HttpResponder &respond) {
                                standin.handle(request, respond);
                            });
    std::atomic<bool> isStopping = false;
    std::thread ticker([&] {
        while (!isStopping) {
            standin.tick();
            std::this_thread::sleep_for(tickPeriod);
        }
    });
    int signal = 0;
    sigwait(&signals, &signal);
    isStopping = true;
    ticker.join();
}

} // namespace Cranberrymount
