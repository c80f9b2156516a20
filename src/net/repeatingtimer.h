#pragma once

#include "net/asio.h"

#include <chrono>
#include <functional>
#include <utility>

namespace wisteriafork {

// Calls a function repeatedly on its own strand until it is stopped. The interval starts anew after each call, so late calls are not caught
// up.
class RepeatingTimer
{
public:
    RepeatingTimer(asio::io_context &context, std::chrono::milliseconds interval, std::function<void()> action)
        : m_timer(asio::make_strand(context)), m_interval(interval), m_action(std::move(action))
    {
    }

    // Starts the first interval.
    void start()
    {
        m_timer.expires_after(m_interval);
        m_timer.async_wait([this](const ErrorCode &error) {
            if (!error && !m_stopped) {
                runAction();
            }
        });
    }

    // Stops the calls. May be called from any thread; a call that is in progress completes.
    void stop()
    {
        asio::post(m_timer.get_executor(), [this] {
            m_stopped = true;
            m_timer.cancel();
        });
    }

private:
    // Starts the next interval also if the action throws.
    void runAction()
    {
        try {
            m_action();
        } catch (...) {
            start();
            throw;
        }
        start();
    }

    Timer m_timer;
    const std::chrono::milliseconds m_interval;
    const std::function<void()> m_action;
    bool m_stopped = false;
};

} // namespace wisteriafork
