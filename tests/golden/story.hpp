#pragma once

#include "cell/instance.hpp"
#include "golden/transcript.hpp"
#include "platform/embedded/embedded_log.hpp"
#include "platform/embedded/embedded_network.hpp"
#include "platform/embedded/embedded_peers.hpp"
#include "platform/embedded/embedded_vm_list.hpp"
#include "platform/embedded/embedded_workers.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace acaciastile::golden
{

/// How large the cell of a story is.
struct story_size
{
    std::size_t data_centres = 1;
    std::size_t racks = 2;   ///< In each data centre.
    std::size_t workers = 2; ///< In each rack.
    resources each{8'000, 16'384, 0};
    std::uint64_t seed = 1;
    std::uint64_t records_between_snapshots = 10'000;
};

/// What a caller asks for, in the few words that stories need.
struct ask
{
    std::string id;
    std::string queue = "plans";
    job_kind kind = job_kind::batch;
    std::uint32_t tasks = 1;
    resources each{1'000, 1'024, 0};
    milliseconds runs{1'000};
    bool repeatable = true;
    bool fails = false;
    milliseconds deadline{30'000};
};

/// Plays one session: real instances, the embedded stand-ins and one manual
/// clock. Every step of the script and everything that is seen from outside
/// becomes a line of the transcript. The same script gives the same bytes.
class story
{
public:
    explicit story(const std::string& name, story_size size = {});
    ~story();

    /// Starts an instance in a data centre, counted from one.
    void start(const std::string& name, std::size_t data_centre = 1);
    /// The process dies at once.
    void kill(const std::string& name);
    /// The process stands still until `resume`.
    void pause(const std::string& name);
    void resume(const std::string& name);
    /// Asks for a graceful end; the instance goes once it has finished.
    void shutdown(const std::string& name);
    [[nodiscard]] bool is_running(const std::string& name) const;

    /// Lets time pass.
    void run(milliseconds time);
    /// Writes a line of the story into the transcript.
    void tell(const std::string& text);

    /// Loads the inventory, the rules and one key for each team through the
    /// named instance, and lets the cell settle.
    void set_up(const std::string& via);
    /// Without a base, the revision that the instance has in force.
    void publish_rules(
        const std::string& via,
        std::map<std::string, resources> upper_limits,
        std::optional<revision> base = {});
    /// What the named instance has in force, asked with the key of a team;
    /// without a team, with the operator's.
    [[nodiscard]] result<documents_in_force>
    documents(const std::string& via, const std::string& team = "");
    void withdraw_key(const std::string& via, const std::string& team);
    void drain(const std::string& via, const std::string& worker);
    void declare_dead(
        const std::string& via, const std::vector<std::string>& workers);

    void submit(const std::string& via, const std::string& team, ask wanted);
    void request(const std::string& via, const std::string& team, ask wanted);
    void cancel(
        const std::string& via, const std::string& team, const std::string& id);
    void status(
        const std::string& via, const std::string& team, const std::string& id);

    /// The VM list says that a worker leaves.
    void leave(const std::string& worker);
    /// Cuts a data centre's instances and workers off from everything else,
    /// or joins them again.
    void cut_off(std::size_t data_centre, bool cut);

    /// Names of the workers, `w<data centre>-<rack>-<number>`.
    [[nodiscard]] std::vector<std::string> workers() const;
    /// The instance that owns most shards; the first by name among equals.
    [[nodiscard]] std::string busiest() const;
    /// The instance that owns the shard of a worker; empty where none does.
    [[nodiscard]] std::string owner_of_worker(const std::string& worker) const;
    /// The worker on which a job's task 0 runs now; empty where it does not.
    [[nodiscard]] std::string worker_of(const std::string& job) const;
    /// A running instance other than that one.
    [[nodiscard]] std::string other_than(const std::string& name) const;

    [[nodiscard]] embedded_log& log() { return log_; }
    [[nodiscard]] embedded_network& network() { return network_; }
    [[nodiscard]] embedded_workers& worker_stand_ins() { return workers_; }
    [[nodiscard]] embedded_peers& peers() { return peers_; }
    [[nodiscard]] embedded_vm_list& vms() { return vms_; }
    [[nodiscard]] instant now() const { return timers_.now(); }
    [[nodiscard]] instance& at(const std::string& name);

    /// Ends the session and gives its transcript.
    [[nodiscard]] transcript finish();

private:
    class manual_clock;
    class recorder;
    struct node;

    void line(const std::string& text);
    void note_runs();
    void note_revisions();
    void note_ended();
    [[nodiscard]] std::size_t begin_call(call_noted call);
    [[nodiscard]] presented_key key_of(const std::string& team) const;
    [[nodiscard]] job_spec make_spec(const std::string& team, const ask&) const;
    template<class Value>
    completion<Value> noted(std::size_t call);
    template<class Value>
    result<Value> wait_for(const std::function<void(completion<Value>)>& begin);

    story_size size_;
    timer_queue timers_;
    embedded_network network_;
    embedded_log log_;
    embedded_workers workers_;
    embedded_vm_list vms_;
    embedded_peers peers_;
    std::unique_ptr<manual_clock> clock_;
    std::map<std::string, std::unique_ptr<node>> nodes_;
    std::map<std::string, std::string> keys_; ///< Full text, by team.
    std::map<std::string, resources> limits_;
    std::map<task_id, std::string> running_; ///< Worker of each running task.
    std::size_t runs_noted_ = 0;
    std::uint64_t starts_ = 0;
    transcript transcript_;
};

/// The answer that a request with this id gets from a worker.
[[nodiscard]] std::string answer_of(const std::string& id);

/// Compares a transcript with its golden file, byte for byte. With the
/// environment variable ACACIASTILE_WRITE_GOLDEN set it writes the file.
[[nodiscard]] bool
matches_golden(const std::string& name, const transcript& played);

} // namespace acaciastile::golden
