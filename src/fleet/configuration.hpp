#pragma once

#include "fleet/job.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acaciastile::fleet
{

/// How long the policy service of a queue takes to answer, and how long its
/// permits hold.
struct policy_timing
{
    std::chrono::duration<double, std::milli> base{0};
    std::chrono::duration<double, std::milli> per_worker{0};
    milliseconds valid{0};
};

struct queue_settings
{
    queue_name name;
    std::string host;
    std::string path_prefix;
    service_name service;
    std::uint32_t priority = 0; ///< Zero comes first.
    std::uint32_t attempts = 1; ///< Failed runs of a task until its job fails.
    double stretch = 1.0;       ///< Objective as a multiple of the work.
    milliseconds latency_objective{0};
    milliseconds timeout{0};
    bool open_to_all = false;
    std::optional<policy_timing> advice;
};

/// An accepted job: what is stored before the caller is answered.
struct accepted_job
{
    job_id id;
    queue_name queue;
    account_name account;
    job_request request;
    /// The queue's settings at acceptance; in force where the configuration
    /// no longer has the queue.
    queue_settings settings_at_acceptance;
    /// By the clock of the VM that accepted it; only the order of work uses it.
    wall_time accepted{};
};

struct account_settings
{
    account_name name;
    std::vector<std::string> keys;
    double weight = 1.0;
    resources cap; ///< Zero in a kind: no limit.
};

struct service_settings
{
    service_name name;
    bool enforces_capacity = false; ///< Its workers refuse what does not fit.
    bool standby = false;
};

/// The operators' configuration as one version of it says. Immutable.
class configuration
{
public:
    configuration() = default;
    configuration(
        std::uint64_t version,
        std::vector<queue_settings> queues,
        std::vector<account_settings> accounts,
        std::vector<service_settings> services)
        : version_(version),
          queues_(std::move(queues)),
          accounts_(std::move(accounts)),
          services_(std::move(services))
    {
        for (const account_settings& account : accounts_)
        {
            for (const std::string& key : account.keys)
            {
                account_of_key_.emplace(key, account.name);
            }
        }
    }

    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }
    [[nodiscard]] const std::vector<queue_settings>& queues() const noexcept
    {
        return queues_;
    }
    [[nodiscard]] const std::vector<account_settings>& accounts() const noexcept
    {
        return accounts_;
    }

    /// The queue with the longest prefix of `path` on `host`; null for none.
    [[nodiscard]] const queue_settings*
    match(std::string_view host, std::string_view path) const noexcept
    {
        const queue_settings* best = nullptr;
        for (const queue_settings& queue : queues_)
        {
            if (queue.host == host && path.starts_with(queue.path_prefix) &&
                (best == nullptr ||
                 best->path_prefix.size() < queue.path_prefix.size()))
            {
                best = &queue;
            }
        }
        return best;
    }

    [[nodiscard]] const queue_settings*
    find(const queue_name& name) const noexcept
    {
        for (const queue_settings& queue : queues_)
        {
            if (queue.name == name)
            {
                return &queue;
            }
        }
        return nullptr;
    }

    [[nodiscard]] const account_settings*
    find(const account_name& name) const noexcept
    {
        for (const account_settings& account : accounts_)
        {
            if (account.name == name)
            {
                return &account;
            }
        }
        return nullptr;
    }

    [[nodiscard]] const account_name*
    account_for_key(const std::string& key) const
    {
        const auto at = account_of_key_.find(key);
        return at == account_of_key_.end() ? nullptr : &at->second;
    }

private:
    std::uint64_t version_ = 0;
    std::vector<queue_settings> queues_;
    std::vector<account_settings> accounts_;
    std::vector<service_settings> services_;
    std::map<std::string, account_name> account_of_key_;
};

/// The settings of a job's queue: those in force, else those at acceptance.
[[nodiscard]] inline const queue_settings& effective_queue_settings(
    const configuration& config, const accepted_job& job) noexcept
{
    const queue_settings* found = config.find(job.queue);
    return found == nullptr ? job.settings_at_acceptance : *found;
}

} // namespace acaciastile::fleet
