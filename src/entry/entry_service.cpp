#include "entry/entry_service.hpp"

#include "entry/caller_api.hpp"
#include "entry/operator_api.hpp"
#include "entry/probe_api.hpp"

#include <iterator>

namespace acaciastile
{

namespace
{

/// How long a replaced listener may take over its last answers.
constexpr milliseconds reload_bound{130'000};

void append(std::vector<api_route>& to, std::vector<api_route> from)
{
    to.insert(
        to.end(),
        std::make_move_iterator(from.begin()),
        std::make_move_iterator(from.end()));
}

} // namespace

result<std::unique_ptr<entry_service>>
entry_service::create(const entry_settings& settings, entry_ports ports)
{
    std::unique_ptr<entry_service> made(new entry_service(std::move(ports)));
    const entry_ports& given = made->ports_;
    const api_context context{&given.cell, &given.thread, settings.bounds};
    std::vector<api_route> outer = caller_routes(context);
    append(outer, operator_routes(context));
    append(outer, probe_routes(made->state_, given.clock, given.measured));
    auto external = http_listener::create(
        settings.external, std::move(outer), given.measured);
    if (!external)
    {
        return tl::unexpected(external.error());
    }
    made->external_ = *std::move(external);
    auto internal = http_listener::create(
        settings.internal, peer_routes(context, given.notices), given.measured);
    if (!internal)
    {
        return tl::unexpected(internal.error());
    }
    made->internal_ = *std::move(internal);
    given.events.emit(
        {event_number::listening,
         {{"callers", made->external_address()},
          {"instances", made->internal_address()}}});
    return made;
}

entry_service::entry_service(entry_ports ports) : ports_(std::move(ports))
{
    // Before its first round the control thread counts as just heard.
    state_.tell(ports_.clock.now(), false);
}

void entry_service::tick(instant now)
{
    const std::size_t in_hand = external_->in_hand();
    ports_.measured.gauge("http_in_hand", "", static_cast<double>(in_hand));
    state_.tell(now, !stopping_.load() && ports_.cell.ready());
}

result<void> entry_service::reload_tls()
{
    auto reloaded = external_->reload(reload_bound);
    if (!reloaded)
    {
        ports_.events.emit(
            {event_number::certificates_kept,
             {{"cause", reloaded.error().message}}});
        return reloaded;
    }
    ports_.events.emit({event_number::certificates_reloaded, {}});
    return reloaded;
}

void entry_service::begin_shutdown()
{
    stopping_.store(true);
    external_->begin_closing();
}

bool entry_service::finish(milliseconds bound)
{
    const bool answered = external_->finish(bound);
    if (!answered)
    {
        ports_.events.emit(
            {event_number::requests_cut_off,
             {{"requests", std::to_string(external_->in_hand())}}});
    }
    static_cast<void>(internal_->finish(bound));
    return answered;
}

std::string entry_service::external_address() const
{
    return external_->address();
}

std::string entry_service::internal_address() const
{
    return internal_->address();
}

std::size_t entry_service::in_hand() const
{
    return external_->in_hand();
}

} // namespace acaciastile
