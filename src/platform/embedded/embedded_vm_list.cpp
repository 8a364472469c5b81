#include "platform/embedded/embedded_vm_list.hpp"

#include <algorithm>

namespace acaciastile
{

namespace
{

auto named(const std::string& name)
{
    return [name](const vm_entry& entry) { return entry.name == name; };
}

} // namespace

void embedded_vm_list::set(vm_entry entry)
{
    std::vector<vm_entry> entries = latest();
    std::erase_if(entries, named(entry.name));
    entries.push_back(std::move(entry));
    change(std::move(entries));
}

void embedded_vm_list::remove(const std::string& name)
{
    std::vector<vm_entry> entries = latest();
    std::erase_if(entries, named(name));
    change(std::move(entries));
}

void embedded_vm_list::set_leaving(const std::string& name, bool leaving)
{
    std::vector<vm_entry> entries = latest();
    auto at = std::find_if(entries.begin(), entries.end(), named(name));
    if (at == entries.end())
    {
        return;
    }
    at->leaving = leaving;
    change(std::move(entries));
}

std::vector<vm_entry> embedded_vm_list::shown()
{
    const instant as_of = network_.now() - lag_;
    while (versions_.size() > 1 && versions_[1].first <= as_of)
    {
        versions_.pop_front();
    }
    if (versions_.empty() || versions_.front().first > as_of)
    {
        return {};
    }
    return versions_.front().second;
}

std::vector<vm_entry> embedded_vm_list::latest() const
{
    return versions_.empty() ? std::vector<vm_entry>{}
                             : versions_.back().second;
}

void embedded_vm_list::change(std::vector<vm_entry> entries)
{
    const instant now = network_.now();
    if (!versions_.empty() && versions_.back().first == now)
    {
        versions_.back().second = std::move(entries);
        return;
    }
    versions_.emplace_back(now, std::move(entries));
}

void embedded_vm_list::fetch_as(
    const std::string& caller,
    completion<std::vector<vm_entry>> done,
    std::weak_ptr<void> alive)
{
    embedded_route route{
        caller,
        endpoint,
        refusal_code::unreachable,
        milliseconds{0},
        std::move(alive)};
    auto serve = [this](const embedded_reply<std::vector<vm_entry>>& reply)
    {
        if (down_)
        {
            reply.answer(
                refuse(refusal_code::unreachable, "the VM list is down"));
            return;
        }
        reply.answer(shown());
    };
    exchange<std::vector<vm_entry>>(
        network_, std::move(route), std::move(serve), std::move(done));
}

embedded_vm_list_view::embedded_vm_list_view(
    embedded_vm_list& list, std::string caller)
    : list_(list), caller_(std::move(caller)), alive_(std::make_shared<int>())
{
}

void embedded_vm_list_view::fetch(completion<std::vector<vm_entry>> done)
{
    list_.fetch_as(caller_, std::move(done), alive_);
}

} // namespace acaciastile
