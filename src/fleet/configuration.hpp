#pragma once

#include "fleet/job.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acaciastile::fleet
{

/// How long the policy service of a queue takes to respond, and how long its
/// permits are valid.
struct policy_timing
{
    /// Response time of a request without its workers.
    std::chrono::duration<double, std::milli> base{0};
    /// Added to `base` for each worker in a request.
    std::chrono::duration<double, std::milli> per_worker{0};
    milliseconds valid{0}; ///< Validity of a permit.
};

/// Settings of one queue of jobs.
struct queue_settings
{
    queue_name name;
    std::string host;
    std::string path_prefix;
    service_name service;
    std::uint32_t priority = 0; ///< Zero is the highest priority.
    std::uint32_t attempts = 1; ///< Failed runs of a task until its job fails.
    double stretch = 1.0;       ///< Objective as a multiple of the run time.
    milliseconds latency_objective{0}; ///< Added to that multiple.
    milliseconds timeout{0};
    bool open_to_all = false; ///< Callers need no key.
    /// Set if tasks need permits of a policy service.
    std::optional<policy_timing> advice;
};

/// An accepted job. It is stored before the caller gets a response.
struct accepted_job
{
    job_id id;
    queue_name queue;
    account_name account;
    job_request request;
    /// The queue's settings when the job was accepted; used if the current
    /// configuration no longer has the queue.
    queue_settings settings_at_acceptance;
    /// By the clock of the VM that accepted it. Only used to order jobs.
    wall_time accepted{};
};

/// Settings of one client account.
struct account_settings
{
    account_name name;
    std::vector<std::string> keys;
    double weight = 1.0; ///< Its share, in jobs per second.
    resources cap;       ///< Per kind of resource; zero means no limit.
};

/// Settings of one service, that is, of one kind of worker.
struct service_settings
{
    service_name name;
    bool enforces_capacity = false; ///< Workers reject runs that do not fit.
    bool standby = false;
};

/// One version of the operators' configuration. Immutable.
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

    /// The queue on `host` whose path prefix is the longest that matches
    /// `path`; null if none does.
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

    /// The account to which the key belongs; null if the key is unknown.
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

/// The current settings of a job's queue, or those at acceptance if the queue
/// no longer exists.
[[nodiscard]] inline const queue_settings& effective_queue_settings(
    const configuration& config, const accepted_job& job) noexcept
{
    const queue_settings* found = config.find(job.queue);
    return found == nullptr ? job.settings_at_acceptance : *found;
}

} // namespace acaciastile::fleet
