#include "cli/signal_waiter.hpp"

#include <pthread.h>

namespace acaciastile
{

signal_waiter::signal_waiter()
{
    sigemptyset(&taken_);
    sigaddset(&taken_, SIGTERM);
    sigaddset(&taken_, SIGINT);
    sigaddset(&taken_, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &taken_, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

process_signal signal_waiter::wait()
{
    int number = 0;
    sigwait(&taken_, &number);
    return number == SIGHUP ? process_signal::reload : process_signal::stop;
}

} // namespace acaciastile
