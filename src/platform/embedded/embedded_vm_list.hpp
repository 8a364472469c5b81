#pragma once

#include "platform/embedded/embedded_network.hpp"
#include "platform/vm_list.hpp"

#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace acaciastile
{

/// The platform's VM list as a stand-in in this process. It holds what is
/// set, right or wrong, and shows each change only after the lag.
class embedded_vm_list
{
public:
    /// Name of the list in the network.
    static constexpr const char* endpoint = "vm-list";

    explicit embedded_vm_list(embedded_network& network) : network_(network) {}

    /// Adds an entry or replaces that of the same name.
    void set(vm_entry entry);
    void remove(const std::string& name);
    /// Marks an entry as leaving or not; without effect on an unknown name.
    void set_leaving(const std::string& name, bool leaving);

    /// How much older than now the list is that callers get.
    void set_lag(milliseconds lag) noexcept { lag_ = lag; }
    /// While down, every call fails with `unreachable`, `not_run`.
    void set_down(bool down) noexcept { down_ = down; }

    /// The list as callers get it now.
    [[nodiscard]] std::vector<vm_entry> shown();

    void fetch_as(
        const std::string& caller,
        completion<std::vector<vm_entry>> done,
        std::weak_ptr<void> alive);

private:
    [[nodiscard]] std::vector<vm_entry> latest() const;
    void change(std::vector<vm_entry> entries);

    embedded_network& network_;
    std::deque<std::pair<instant, std::vector<vm_entry>>> versions_;
    milliseconds lag_{0};
    bool down_ = false;
};

/// The VM list as one named caller sees it.
class embedded_vm_list_view : public vm_list
{
public:
    embedded_vm_list_view(embedded_vm_list& list, std::string caller);

    void fetch(completion<std::vector<vm_entry>> done) override;

private:
    embedded_vm_list& list_;
    std::string caller_;
    std::shared_ptr<void> alive_;
};

} // namespace acaciastile
