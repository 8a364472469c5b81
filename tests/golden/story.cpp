#include "golden/story.hpp"

#include "domain/key_check.hpp"
#include "policy/fair_scheduler.hpp"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

namespace acaciastile::golden
{

namespace
{

constexpr milliseconds step{10};
constexpr milliseconds settle_time{6'000};
constexpr int most_waits = 2'000;
/// The clock starts late enough for every difference to be positive.
constexpr instant beginning = instant{} + std::chrono::hours{24};
const std::string operator_team = "operator";

std::string data_centre(std::size_t number)
{
    return "dc" + std::to_string(number);
}

std::size_t data_centre_of(const std::string& worker)
{
    return static_cast<std::size_t>(worker[1] - '0');
}

std::string group_of(std::size_t number)
{
    return "group-" + data_centre(number);
}

/// The operator's key that every story begins with.
generated_key first_key()
{
    const std::vector<std::uint8_t> bytes(key_random_bytes, 7);
    return generate_key(key_id("first"), team_name(), key_right::operate, bytes)
        .value();
}

std::string describe(const answer_noted& answer)
{
    if (answer.accepted)
    {
        return "ok, " + answer.text;
    }
    return "refused " + answer.code + " (" +
           std::string(to_string(answer.effect)) + ")";
}

std::string describe(const job_status& status)
{
    std::string text = status.job.str();
    for (const auto& [state, name] : task_state_names)
    {
        const auto count = status.tasks[static_cast<std::size_t>(state)];
        if (count > 0)
        {
            text += " " + std::string(name) + "=" + std::to_string(count);
        }
    }
    if (status.why)
    {
        text += " why=" + status.why->reason;
    }
    return status.answer.empty() ? text : text + " answer=" + status.answer;
}

std::string describe(const request_answer& answer)
{
    return answer.answer;
}

} // namespace

std::string answer_of(const std::string& id)
{
    return "done " + id;
}

class story::manual_clock final : public clock_source
{
public:
    explicit manual_clock(const timer_queue& timers) : timers_(timers) {}
    [[nodiscard]] instant now() const noexcept override
    {
        return timers_.now();
    }

private:
    const timer_queue& timers_;
};

/// Writes an instance's events into the transcript.
class story::recorder final : public event_sink, public metric_sink
{
public:
    recorder(story& owner, std::string name)
        : story_(owner), name_(std::move(name))
    {
    }

    void emit(const event& happened) override
    {
        std::string text = name_;
        for (const event_kind& kind : event_kinds)
        {
            if (kind.number == happened.number)
            {
                text += ": " + std::string(kind.name);
            }
        }
        for (const auto& [key, value] : happened.fields)
        {
            const bool own =
                key == "instance" && value.starts_with(name_ + ".");
            if (!own && key != "address")
            {
                text += " " + std::string(key) + "=" + value;
            }
        }
        story_.line(text);
    }

    void count(std::string_view, std::string_view, double) override {}
    void sample(std::string_view, std::string_view, double) override {}
    void gauge(std::string_view, std::string_view, double) override {}

private:
    story& story_;
    std::string name_;
};

struct story::node
{
    std::string vm;
    std::string address;
    std::unique_ptr<recorder> record;
    std::unique_ptr<embedded_log_view> log;
    std::unique_ptr<embedded_worker_gateway> workers;
    std::unique_ptr<embedded_vm_list_view> vms;
    std::unique_ptr<embedded_peer_gateway> peers;
    std::mt19937_64 bytes;
    std::unique_ptr<instance> running;
    bool paused = false;
    bool stopping = false;
};

story::story(const std::string& name, story_size size)
    : size_(size),
      network_(
          timers_,
          {milliseconds{1},
           milliseconds{3},
           milliseconds{200},
           milliseconds{1'500},
           size.seed}),
      log_(network_),
      workers_(network_),
      vms_(network_),
      peers_(network_),
      clock_(std::make_unique<manual_clock>(timers_))
{
    timers_.run_until(beginning);
    for (const std::string& worker : workers())
    {
        embedded_worker_settings settings;
        settings.id = worker_id(worker);
        settings.capacity = size_.each;
        workers_.add(settings);
        const std::size_t centre = data_centre_of(worker);
        network_.join(worker, group_of(centre));
        vms_.set(
            {worker,
             vm_role::worker,
             data_centre_name(data_centre(centre)),
             worker});
    }
    const resources plenty{1'000'000, 1'000'000, 100};
    limits_ = {{"planning", plenty}, {"orders", plenty}, {"unlocks", plenty}};
    line("session " + name);
}

story::~story()
{
    nodes_.clear();
}

std::vector<std::string> story::workers() const
{
    std::vector<std::string> names;
    for (std::size_t centre = 1; centre <= size_.data_centres; ++centre)
    {
        for (std::size_t rack = 1; rack <= size_.racks; ++rack)
        {
            for (std::size_t number = 1; number <= size_.workers; ++number)
            {
                names.push_back(
                    "w" + std::to_string(centre) + "-" + std::to_string(rack) +
                    "-" + std::to_string(number));
            }
        }
    }
    return names;
}

void story::start(const std::string& name, std::size_t centre)
{
    tell("start " + name);
    auto made = std::make_unique<node>();
    node* raw = made.get();
    ++starts_;
    made->vm = name + "." + std::to_string(starts_);
    made->address = name + ":" + std::to_string(starts_);
    made->record = std::make_unique<recorder>(*this, name);
    made->log = std::make_unique<embedded_log_view>(log_, name);
    made->workers = std::make_unique<embedded_worker_gateway>(workers_, name);
    made->vms = std::make_unique<embedded_vm_list_view>(vms_, name);
    made->peers = std::make_unique<embedded_peer_gateway>(peers_, name);
    made->bytes.seed(size_.seed * 1'000 + starts_);
    network_.join(name, group_of(centre));
    network_.resume(name);

    instance_settings settings;
    settings.self.id = instance_id(made->vm);
    settings.self.address = made->address;
    settings.self.data_centre = data_centre_name(data_centre(centre));
    settings.notify_address = made->address;
    settings.follower.policy.records = size_.records_between_snapshots;
    settings.bootstrap_key = first_key().entry;
    instance_ports ports;
    ports.log = made->log.get();
    ports.vms = made->vms.get();
    ports.workers = made->workers.get();
    ports.peers = made->peers.get();
    ports.events = made->record.get();
    ports.metrics = made->record.get();
    ports.clock = clock_.get();
    ports.make_scheduler = [] { return fair_scheduler::create({}); };
    ports.random_bytes = [raw](std::size_t count)
    {
        std::string bytes;
        while (bytes.size() < count)
        {
            bytes.push_back(static_cast<char>(raw->bytes() & 0x7f));
        }
        return bytes;
    };
    vms_.set(
        {made->vm, vm_role::entry, settings.self.data_centre, made->address});
    made->running =
        instance::create(settings, ports, size_.seed * 77 + starts_).value();
    peers_.enter(
        made->address,
        name,
        [this, raw](
            const std::string& method,
            const std::string& body,
            completion<std::string> done)
        { raw->running->on_peer(now(), method, body, std::move(done)); });
    transcript_.ended.erase(name);
    nodes_[name] = std::move(made);
}

void story::kill(const std::string& name)
{
    tell("kill " + name);
    peers_.leave(nodes_.at(name)->address);
    vms_.remove(nodes_.at(name)->vm);
    transcript_.crashed.insert(name);
    transcript_.ended[name] = now();
    nodes_.erase(name);
}

void story::pause(const std::string& name)
{
    tell("pause " + name);
    nodes_.at(name)->paused = true;
    network_.pause(name);
    transcript_.crashed.insert(name);
}

void story::resume(const std::string& name)
{
    tell("resume " + name);
    nodes_.at(name)->paused = false;
    network_.resume(name);
}

void story::shutdown(const std::string& name)
{
    tell("shut down " + name);
    nodes_.at(name)->stopping = true;
    transcript_.shutdowns[name] = now();
    at(name).begin_shutdown(now());
}

bool story::is_running(const std::string& name) const
{
    return nodes_.contains(name);
}

instance& story::at(const std::string& name)
{
    return *nodes_.at(name)->running;
}

void story::run(milliseconds time)
{
    const instant until = now() + time;
    while (now() < until)
    {
        timers_.run_until(now() + step);
        for (auto& [name, one] : nodes_)
        {
            if (!one->paused)
            {
                one->running->tick(now());
            }
        }
        note_runs();
        note_revisions();
        note_ended();
    }
}

void story::note_ended()
{
    for (auto at = nodes_.begin(); at != nodes_.end();)
    {
        node& one = *at->second;
        if (!one.stopping || one.paused || !one.running->finished())
        {
            ++at;
            continue;
        }
        line(at->first + " has ended");
        transcript_.ended[at->first] = now();
        peers_.leave(one.address);
        vms_.remove(one.vm);
        at = nodes_.erase(at);
    }
}

void story::note_runs()
{
    const auto& entries = workers_.journal().entries();
    for (; runs_noted_ < entries.size(); ++runs_noted_)
    {
        const run_entry& run = entries[runs_noted_];
        if (run.what == run_event::started)
        {
            running_[run.attempt.task] = run.worker.str();
        }
        else
        {
            running_.erase(run.attempt.task);
        }
        line(
            run.worker.str() + ": " + to_string(run.attempt) + " " +
            std::string(to_string(run.what)));
    }
}

void story::note_revisions()
{
    for (const auto& [name, one] : nodes_)
    {
        const cell_state& cell = one->running->cell();
        const bool cut =
            network_.cut_between(name, embedded_log::endpoint) != nullptr;
        transcript_.seen.push_back(
            {now(),
             one->vm,
             cell.inventory_revision(),
             cell.rules_revision(),
             !one->paused && !cut});
    }
}

void story::line(const std::string& text)
{
    const auto since = (now() - beginning).count();
    std::ostringstream out;
    out << std::setw(5) << since / 1000 << '.' << std::setw(3)
        << std::setfill('0') << since % 1000 << ' ' << text;
    transcript_.lines.push_back(out.str());
}

void story::tell(const std::string& text)
{
    line("-- " + text);
}

presented_key story::key_of(const std::string& team) const
{
    auto at = keys_.find(team);
    return {at == keys_.end() ? std::string() : at->second};
}

template<class Value>
result<Value>
story::wait_for(const std::function<void(completion<Value>)>& begin)
{
    auto outcome = std::make_shared<std::optional<result<Value>>>();
    begin([outcome](result<Value> told) { *outcome = std::move(told); });
    for (int waits = 0; !*outcome && waits < most_waits; ++waits)
    {
        run(step);
    }
    if (!*outcome)
    {
        return refuse(refusal_code::internal, "the story got no answer");
    }
    return **outcome;
}

void story::set_up(const std::string& via)
{
    keys_[operator_team] = first_key().presented;
    run(milliseconds{1'000});
    std::vector<worker_entry> entries;
    for (const std::string& worker : workers())
    {
        entries.push_back(
            {worker_id(worker),
             data_centre_name(data_centre(data_centre_of(worker))),
             rack_name(worker.substr(0, 4)),
             worker,
             size_.each});
    }
    auto loaded = wait_for<published>(
        [&](completion<published> done)
        {
            at(via).publish_inventory(
                now(),
                key_of(operator_team),
                0,
                inventory::create(entries).value(),
                std::move(done));
        });
    tell(loaded ? "inventory loaded" : "inventory: " + loaded.error().message);
    if (loaded)
    {
        transcript_.changes.push_back({now(), "inventory", loaded->in_force});
    }
    publish_rules(via, limits_);
    for (const auto& [team, limit] : limits_)
    {
        auto granted = wait_for<granted_key>(
            [&, name = team_name(team)](completion<granted_key> done)
            {
                at(via).grant_key(
                    now(),
                    key_of(operator_team),
                    name,
                    key_right::caller,
                    std::move(done));
            });
        if (granted)
        {
            keys_[team] = granted->secret_text;
            transcript_.team_of_key[granted->entry.id.str()] = team;
        }
    }
    run(settle_time);
    tell("set up");
}

result<documents_in_force>
story::documents(const std::string& via, const std::string& team)
{
    return wait_for<documents_in_force>(
        [&](completion<documents_in_force> done)
        {
            at(via).documents(
                now(),
                key_of(team.empty() ? operator_team : team),
                std::move(done));
        });
}

void story::publish_rules(
    const std::string& via,
    std::map<std::string, resources> upper_limits,
    std::optional<revision> base)
{
    std::vector<team_rule> teams;
    for (const auto& [team, limit] : upper_limits)
    {
        teams.push_back({team_name(team), 1, limit});
    }
    std::vector<queue_rule> queues;
    auto add = [&queues](const char* name, work_class policy)
    {
        queues.emplace_back();
        queues.back().name = queue_name(name);
        queues.back().policy = policy;
    };
    add("plans", work_class::batch);
    add("orders", work_class::urgent);
    add("unlocks", work_class::urgent);
    add("fittings", work_class::gang);
    add("portal", work_class::service);
    add("checks", work_class::status);
    queues.back().open_to_all = true;
    queues.back().charged_team = team_name("planning");
    const revision from = base ? *base : at(via).cell().rules_revision();
    auto changed = wait_for<published>(
        [&](completion<published> done)
        {
            at(via).publish_rules(
                now(),
                key_of(operator_team),
                from,
                rules::create(teams, queues).value(),
                std::move(done));
        });
    tell(
        "rules via " + via + ": " +
        (changed ? "accepted"
                 : std::string(to_string(changed.error().code)) + ", " +
                       changed.error().message));
    if (!changed)
    {
        return;
    }
    transcript_.changes.push_back({now(), "rules", changed->in_force});
    limits_ = std::move(upper_limits);
    for (const auto& [team, limit] : limits_)
    {
        transcript_.limits.push_back({now(), team, limit});
    }
}

void story::withdraw_key(const std::string& via, const std::string& team)
{
    const std::string text = key_of(team).text;
    const std::string id = text.substr(0, text.find('.'));
    auto gone = wait_for<published>(
        [&](completion<published> done)
        {
            at(via).withdraw_key(
                now(), key_of(operator_team), key_id(id), std::move(done));
        });
    tell("key of " + team + (gone ? " withdrawn" : " not withdrawn"));
    if (gone)
    {
        transcript_.keys_withdrawn[id] = now();
    }
}

void story::drain(const std::string& via, const std::string& worker)
{
    auto drained = wait_for<published>(
        [&](completion<published> done)
        {
            at(via).drain(
                now(),
                key_of(operator_team),
                {worker_id(worker)},
                true,
                std::move(done));
        });
    tell(worker + (drained ? " drained" : " not drained"));
    if (drained)
    {
        transcript_.workers_leaving[worker] = now();
    }
}

void story::declare_dead(
    const std::string& via, const std::vector<std::string>& names)
{
    std::vector<worker_id> ids;
    for (const std::string& name : names)
    {
        ids.emplace_back(name);
    }
    auto told = wait_for<published>(
        [&](completion<published> done) {
            at(via).declare_dead(
                now(), key_of(operator_team), ids, std::move(done));
        });
    tell(told ? "workers declared dead" : "declaration refused");
}

void story::leave(const std::string& worker)
{
    tell(worker + " is leaving, says the VM list");
    vms_.set_leaving(worker, true);
    transcript_.workers_leaving[worker] = now();
}

void story::cut_off(std::size_t centre, bool cut)
{
    tell(data_centre(centre) + (cut ? " is cut off" : " is back"));
    std::vector<std::string> others{
        embedded_log::endpoint, embedded_vm_list::endpoint};
    for (std::size_t other = 1; other <= size_.data_centres; ++other)
    {
        if (other != centre)
        {
            others.push_back(group_of(other));
        }
    }
    for (const std::string& other : others)
    {
        if (cut)
        {
            network_.cut(group_of(centre), other, cut_manner::silent);
        }
        else
        {
            network_.heal(group_of(centre), other);
        }
    }
}

job_spec story::make_spec(const std::string& team, const ask& wanted) const
{
    job_spec spec;
    spec.id = job_id(wanted.id);
    spec.team = team_name(team);
    spec.queue = queue_name(wanted.queue);
    spec.kind = wanted.kind;
    spec.name = wanted.queue;
    spec.tasks = wanted.tasks;
    spec.each = wanted.each;
    spec.run_time = wanted.runs;
    spec.repeatable = wanted.repeatable;
    spec.deadline = wanted.deadline;
    nlohmann::json payload{{"answer", answer_of(wanted.id)}};
    if (wanted.kind != job_kind::service)
    {
        payload["run_ms"] = wanted.runs.count();
    }
    if (wanted.fails)
    {
        payload["fail"] = true;
    }
    spec.payload = payload.dump();
    return spec;
}

std::size_t story::begin_call(call_noted call)
{
    const std::string text = key_of(call.team).text;
    call.key = text.substr(0, text.find('.'));
    call.at = now();
    tell(
        (call.team.empty() ? "somebody" : call.team) + " via " + call.via +
        ": " + call.kind + " " + call.id);
    transcript_.calls.push_back(std::move(call));
    return transcript_.calls.size() - 1;
}

template<class Value>
completion<Value> story::noted(std::size_t call)
{
    return [this, call](result<Value> told)
    {
        answer_noted answer;
        answer.at = now();
        answer.accepted = told.has_value();
        if (told)
        {
            answer.effect = verdict::ran;
            answer.text = describe(*told);
        }
        else
        {
            answer.effect = told.error().effect;
            answer.code = to_string(told.error().code);
            answer.text = told.error().message;
        }
        call_noted& of = transcript_.calls[call];
        line(
            "answer to " + of.kind + " " + of.id + " via " + of.via + ": " +
            describe(answer));
        of.answers.push_back(std::move(answer));
    };
}

void story::submit(const std::string& via, const std::string& team, ask wanted)
{
    transcript_.team_of_job[wanted.id] = team;
    const std::size_t call =
        begin_call({wanted.id, via, "submit", team, {}, wanted.repeatable});
    at(via).submit(
        now(), key_of(team), make_spec(team, wanted), noted<job_status>(call));
}

void story::request(const std::string& via, const std::string& team, ask wanted)
{
    wanted.kind = job_kind::request;
    transcript_.team_of_job[wanted.id] = team.empty() ? "planning" : team;
    if (wanted.repeatable)
    {
        transcript_.repeatable_requests.insert(wanted.id);
    }
    const std::size_t call = begin_call(
        {wanted.id,
         via,
         "request",
         team,
         {},
         wanted.repeatable,
         {},
         answer_of(wanted.id)});
    at(via).request(
        now(),
        key_of(team),
        make_spec(team, wanted),
        noted<request_answer>(call));
}

void story::cancel(
    const std::string& via, const std::string& team, const std::string& id)
{
    const std::size_t call = begin_call({id, via, "cancel", team});
    at(via).cancel(now(), key_of(team), job_id(id), noted<job_status>(call));
}

void story::status(
    const std::string& via, const std::string& team, const std::string& id)
{
    const std::size_t call = begin_call({id, via, "status", team});
    at(via).status(
        now(), key_of(team), job_id(id), true, noted<job_status>(call));
}

std::string story::busiest() const
{
    std::string best;
    std::size_t most = 0;
    for (const auto& [name, one] : nodes_)
    {
        const std::size_t count = one->running->owned_shards().size();
        if (best.empty() || count > most)
        {
            best = name;
            most = count;
        }
    }
    return best;
}

std::string story::owner_of_worker(const std::string& worker) const
{
    for (const auto& [name, one] : nodes_)
    {
        for (const shard_id& id : one->running->owned_shards())
        {
            const auto& list = one->running->owner_of(id)->shard().workers;
            auto same = [&worker](const worker_entry& entry)
            { return entry.id.str() == worker; };
            if (std::any_of(list.begin(), list.end(), same))
            {
                return name;
            }
        }
    }
    return {};
}

std::string story::worker_of(const std::string& job) const
{
    auto at = running_.find({job_id(job), 0});
    return at == running_.end() ? std::string() : at->second;
}

std::string story::other_than(const std::string& name) const
{
    for (const auto& [other, one] : nodes_)
    {
        if (other != name)
        {
            return other;
        }
    }
    return {};
}

transcript story::finish()
{
    note_runs();
    transcript_.runs = workers_.journal().entries();
    transcript_.end = now();
    line("end");
    return std::move(transcript_);
}

bool matches_golden(const std::string& name, const transcript& played)
{
    const std::string path = std::string(ACACIASTILE_SOURCE_DIR) +
                             "/tests/golden/expected/" + name + ".txt";
    std::string text;
    for (const std::string& one : played.lines)
    {
        text += one + "\n";
    }
    if (std::getenv("ACACIASTILE_WRITE_GOLDEN") != nullptr)
    {
        std::ofstream(path) << text;
        return true;
    }
    std::ifstream in(path);
    std::stringstream kept;
    kept << in.rdbuf();
    return in && kept.str() == text;
}

} // namespace acaciastile::golden
