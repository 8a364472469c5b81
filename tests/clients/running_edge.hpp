#pragma once

#include "clients/log_store.hpp"
#include "support/temporary_folder.hpp"

#include <sys/types.h>

namespace acaciastile::test
{

/// A process `acaciastile edge` on loopback with low limits, and the store that
/// it uses. The process ends with this object.
class running_edge
{
public:
    /// Limits of the VM that the process is told and held to. Its memory is
    /// held to by the test that reads `peak_memory_kib`.
    static constexpr std::size_t memory_mib = 64;
    static constexpr std::size_t descriptors = 128;

    running_edge();
    ~running_edge();
    running_edge(const running_edge&) = delete;
    running_edge& operator=(const running_edge&) = delete;

    /// One listener of the process and an ordinary request to it.
    struct listener
    {
        std::string name;
        std::uint16_t port = 0;
        std::string path; ///< Of a GET that is answered with 200.
    };
    [[nodiscard]] const std::vector<listener>& listeners() const noexcept
    {
        return listeners_;
    }

    [[nodiscard]] bool lives() const;
    /// The largest resident size so far, in KiB.
    [[nodiscard]] std::size_t peak_memory_kib() const;
    [[nodiscard]] std::size_t open_descriptors() const;

private:
    log_store store_;
    temporary_folder folder_;
    std::vector<listener> listeners_;
    pid_t process_ = 0;
};

/// Sends an ordinary GET on new connections until one is answered with 200.
/// Returns false if none is within the patience of a caller.
[[nodiscard]] bool is_answered(const running_edge::listener& by);

} // namespace acaciastile::test
