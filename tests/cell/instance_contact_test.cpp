#include "cell/instance.hpp"
#include "cell/stream_names.hpp"
#include "codec/record_codec.hpp"
#include "domain/key_check.hpp"
#include "platform/embedded/embedded_peers.hpp"
#include "platform/embedded/embedded_vm_list.hpp"
#include "platform/embedded/embedded_workers.hpp"
#include "policy/fair_scheduler.hpp"
#include "support/event_recorder.hpp"
#include "support/log_fixture.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;

namespace
{

struct no_metrics : metric_sink
{
    void count(std::string_view, std::string_view, double) override {}
    void sample(std::string_view, std::string_view, double) override {}
    void gauge(std::string_view, std::string_view, double) override {}
};

struct fixture_clock : clock_source
{
    explicit fixture_clock(const timer_queue& timers) : queue(timers) {}
    [[nodiscard]] instant now() const noexcept override { return queue.now(); }
    const timer_queue& queue;
};

generated_key key_of(const std::string& id, std::uint8_t byte)
{
    const std::vector<std::uint8_t> random(key_random_bytes, byte);
    return generate_key(key_id(id), {}, key_right::operate, random).value();
}

/// An instance without peers that starts while the log does not answer.
struct isolated_instance : log_fixture
{
    isolated_instance() : workers(network), vms(network), peers(network)
    {
        timers.run_until(instant{} + std::chrono::hours{24});
        instance_settings settings;
        settings.self.id = instance_id("e1");
        settings.self.address = "e1:1";
        settings.bootstrap_key = key_of("first", 1).entry;
        instance_ports ports;
        ports.log = &view;
        ports.vms = &vm_view;
        ports.workers = &worker_view;
        ports.peers = &peer_view;
        ports.events = &events;
        ports.metrics = &metrics;
        ports.clock = &clock;
        ports.make_scheduler = [] { return fair_scheduler::create({}); };
        ports.random_bytes = [](std::size_t count)
        { return std::string(count, 'r'); };
        made = instance::create(settings, ports, 1).value();
    }

    void run(milliseconds span)
    {
        run_for(span, [this](instant now) { made->tick(now); });
    }

    /// The code of the refusal; `internal` if the key was accepted.
    refusal_code grant_with(const std::string& presented)
    {
        refusal_code code = refusal_code::internal;
        made->grant_key(
            timers.now(),
            {presented},
            {},
            key_right::operate,
            [&](const result<granted_key>& granted)
            {
                if (!granted)
                {
                    code = granted.error().code;
                }
            });
        return code;
    }

    embedded_workers workers;
    embedded_vm_list vms;
    embedded_peers peers;
    embedded_log_view view{log, "e1"};
    embedded_vm_list_view vm_view{vms, "e1"};
    embedded_worker_gateway worker_view{workers, "e1"};
    embedded_peer_gateway peer_view{peers, "e1"};
    event_recorder events;
    no_metrics metrics;
    fixture_clock clock{timers};
    std::unique_ptr<instance> made;
};

} // namespace

TEST_CASE("an instance without any contact takes no key", "[instance]")
{
    isolated_instance fixture;
    const generated_key other = key_of("op", 2);
    fixture.append(
        cell_stream(), {encode(cell_record{"r1", key_granted{other.entry}})});
    fixture.log.set_down(true);
    fixture.run(milliseconds(1'000));
    // The log holds an operator's key, so the bootstrap key is no longer valid.
    // An instance that has not read the log must not accept it.
    const std::string first = key_of("first", 1).presented;
    CHECK(fixture.grant_with(first) == refusal_code::stale_configuration);
    fixture.log.set_down(false);
    fixture.run(milliseconds(3'000));
    CHECK(fixture.grant_with(first) == refusal_code::unauthenticated);
    CHECK(fixture.grant_with(other.presented) == refusal_code::internal);
}
