#pragma once

#include <csignal>

namespace acaciastile
{

/// What the operator asked the process for.
enum class process_signal
{
    stop,  ///< SIGTERM or SIGINT.
    reload ///< SIGHUP.
};

/// Takes SIGTERM, SIGINT and SIGHUP for the one thread that waits for them.
/// To be made before any other thread starts; SIGPIPE is ignored.
class signal_waiter
{
public:
    signal_waiter();

    [[nodiscard]] process_signal wait();

private:
    sigset_t taken_{};
};

} // namespace acaciastile
