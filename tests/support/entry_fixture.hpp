#pragma once

#include "entry/entry_service.hpp"
#include "observe/real_clock.hpp"
#include "support/control_mock.hpp"
#include "support/recorded_events.hpp"
#include "support/test_client.hpp"

#include <memory>

namespace acaciastile
{

/// A whole entry on loopback before a mock of the control code.
struct entry_fixture
{
    /// Where `begun` is false the control thread makes no round.
    explicit entry_fixture(
        entry_settings settings = small_settings(), bool begun = true)
        : thread(control_thread::create({}, clock, *measured))
    {
        service = entry_service::create(
                      settings,
                      {cell,
                       *thread,
                       clock,
                       *measured,
                       events,
                       [this](const std::string& body) -> result<void>
                       {
                           notices.push_back(body);
                           return {};
                       }})
                      .value();
        if (begun)
        {
            thread->start([this](instant now) { service->tick(now); });
        }
        client = std::make_unique<test_client>(service->external_address());
    }

    ~entry_fixture() { thread->stop(); }

    /// Any free ports and small bounds.
    static entry_settings small_settings()
    {
        entry_settings settings;
        settings.external.address = {"127.0.0.1", 0};
        settings.external.body_limit = 4096;
        settings.internal.address = {"127.0.0.1", 0};
        return settings;
    }

    real_clock clock;
    std::unique_ptr<metrics> measured = metrics::create();
    recorded_events events;
    control_mock cell;
    std::unique_ptr<trompeloeil::expectation> always_ready =
        NAMED_ALLOW_CALL(cell, ready()).RETURN(true);
    std::vector<std::string> notices;
    std::unique_ptr<control_thread> thread;
    std::unique_ptr<entry_service> service;
    std::unique_ptr<test_client> client;
};

} // namespace acaciastile
