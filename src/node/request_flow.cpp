#include "node/request_flow.hpp"

#include <algorithm>

namespace zinniaferry::node
{

namespace
{

using request::request_event;

void begin_claim(decider& state, request_id id, request_record& record, core::time_point now,
                 action_list& actions)
{
    apply(state, record, request_event::needs_claim, now);
    fleet::begun_claim claim =
        fleet::begin_claim(state.claims, record.account, record.idempotency_key, record.first_sent,
                           record.life.deadline, now);
    if (claim.claim_id == 0)
    {
        apply(state, record, request_event::claim_failed, now);
        refuse(state, id, request_error::claim_undecided, shed_retry_after, now, actions);
        return;
    }
    record.claim = claim.claim_id;
    state.request_of_claim[claim.claim_id] = id;
    append(state, actions, std::move(claim.messages));
    // A fleet of one VM is its own majority and claims at once.
    resolve_claims(state, now, actions);
}

// The account has admitted the request.
void proceed(decider& state, request_id id, core::time_point now, action_list& actions)
{
    request_record* record = find(state, id);
    if (record == nullptr)
    {
        return;
    }
    if (!record->account.empty())
    {
        ++state.accounts[record->account].admitted;
    }
    apply(state, *record, request_event::admit, now);
    request::on_request(state.retries);
    if (!record->idempotent && !record->idempotency_key.empty())
    {
        begin_claim(state, id, *record, now, actions);
        return;
    }
    apply(state, *record, request_event::enqueue, now);
    const routing::service_index service = record->service;
    enqueue(state, id, *record, now, actions);
    dispatch_service(state, service, now, actions);
}

request_record make_record(const config::route& route, const request_description& request,
                           core::time_point now)
{
    request_record record;
    const core::duration allowed =
        std::min(route.timeout, request.time_allowed.value_or(route.timeout));
    record.life = request::make_request_life(route.idempotent, now + allowed);
    record.priority = route.priority;
    record.idempotent = route.idempotent;
    record.idempotency_key = request.idempotency_key;
    record.first_sent = request.first_sent.value_or(core::unix_time());
    record.arrived = now;
    return record;
}

// Returns why the request may not run for an account, and sets the account when it may.
std::optional<request_error> authenticate(const decider& state, const config::route& route,
                                          const request_description& request, core::time_point now,
                                          request_record& record)
{
    if (route.open)
    {
        return std::nullopt;
    }
    if (fleet::is_isolated(state.membership, now) || fleet::is_behind(state.spread, now))
    {
        return request_error::isolated;
    }
    record.account = account_of_key(state, request.presented_key);
    record.presented_key = request.presented_key;
    record.checked_version = state.applied_version;
    return record.account.empty() ? std::optional(request_error::unknown_key) : std::nullopt;
}

void admit(decider& state, request_id id, core::time_point now, action_list& actions)
{
    request_record& record = state.requests.at(id);
    if (record.account.empty())
    {
        proceed(state, id, now, actions);
        return;
    }
    ++state.accounts[record.account].requests;
    const limits::admission admission =
        limits::try_admit(state.limiter, record.account, id, record.life.deadline, now);
    if (admission.result == limits::verdict::admitted)
    {
        proceed(state, id, now, actions);
    }
    else if (admission.result == limits::verdict::wait)
    {
        append(state, actions, limits::flush(state.limiter, now, state.random));
    }
    else
    {
        apply(state, record, request_event::refuse, now);
        refuse(state, id, request_error::over_limit, admission.retry_after, now, actions);
    }
}

} // namespace

void resolve_waiting(decider& state, core::time_point now, action_list& actions)
{
    for (const limits::resolution& end : limits::resolve_waiting(state.limiter, now))
    {
        request_record* record = find(state, end.request_id);
        if (record == nullptr)
        {
            continue;
        }
        if (end.outcome.result == limits::verdict::admitted)
        {
            proceed(state, end.request_id, now, actions);
            continue;
        }
        apply(state, *record, request_event::refuse, now);
        refuse(state, end.request_id, request_error::over_limit, end.outcome.retry_after, now,
               actions);
    }
}

void resolve_claims(decider& state, core::time_point now, action_list& actions)
{
    for (const fleet::claim_event& event : fleet::take_events(state.claims))
    {
        const auto found = state.request_of_claim.find(event.claim_id);
        if (found == state.request_of_claim.end())
        {
            continue;
        }
        const request_id id = found->second;
        request_record& record = state.requests.at(id);
        if (event.outcome == fleet::claim_outcome::claimed)
        {
            apply(state, record, request_event::claimed, now);
            const routing::service_index service = record.service;
            enqueue(state, id, record, now, actions);
            dispatch_service(state, service, now, actions);
            continue;
        }
        apply(state, record, request_event::claim_failed, now);
        const bool taken = event.outcome == fleet::claim_outcome::taken;
        refuse(state, id, taken ? request_error::repeated_key : request_error::claim_undecided, {},
               now, actions);
    }
}

void expire_queued(decider& state, core::time_point now, action_list& actions)
{
    for (routing::admission_queue& queue : state.queues)
    {
        for (const routing::queued_request& entry : routing::take_expired(queue, now))
        {
            if (request_record* record = find(state, entry.id))
            {
                apply(state, *record, request_event::deadline, now);
                refuse(state, entry.id, request_error::deadline_expired, {}, now, actions);
            }
        }
    }
}

action_list start_request(decider& state, request_id id, const request_description& request,
                          core::time_point now)
{
    ++state.counters.requests;
    if (!is_ready(state, now))
    {
        return refuse_at_once(state, id, {}, request_error::not_ready, shed_retry_after);
    }
    const config::route* route = config::find_route(*state.configuration, request.path);
    if (route == nullptr)
    {
        return refuse_at_once(state, id, {}, request_error::unknown_route);
    }
    request_record record = make_record(*route, request, now);
    if (const auto error = authenticate(state, *route, request, now, record))
    {
        return refuse_at_once(state, id, record, *error);
    }
    record.service = routing::find_service(state.servers, route->service);
    if (record.service == routing::no_service)
    {
        return refuse_at_once(state, id, record, request_error::no_server);
    }
    if (record.life.deadline <= now)
    {
        return refuse_at_once(state, id, record, request_error::deadline_expired);
    }
    if (state.requests.size() >= state.options.max_requests)
    {
        return refuse_at_once(state, id, record, request_error::overloaded, shed_retry_after);
    }
    state.requests.emplace(id, std::move(record));
    action_list actions;
    admit(state, id, now, actions);
    return actions;
}

action_list caller_gone(decider& state, request_id id, core::time_point now)
{
    action_list actions;
    request_record* record = find(state, id);
    // An attempt in progress ends with attempt_ended.
    if (record == nullptr || record->server)
    {
        return actions;
    }
    limits::cancel_waiting(state.limiter, record->account, id);
    if (record->life.state == request::request_state::queued)
    {
        routing::remove(state.queues[record->service], queue_entry(*record, id, now));
    }
    apply(state, *record, request_event::cancel, now);
    refuse(state, id, request_error::cancelled, {}, now, actions);
    return actions;
}

action_list probe_ended(decider& state, std::string_view server, std::string_view load_report,
                        core::duration took, core::time_point now)
{
    action_list actions;
    routing::on_probe_finished(state.probes, server, took, now);
    if (const auto index = routing::find_server(state.servers, server))
    {
        routing::on_probe_result(state.servers, *index, routing::parse_load_report(load_report),
                                 now);
        dispatch_service(state, state.servers.servers[*index].service, now, actions);
    }
    return actions;
}

void connection_opened(decider& state, std::string_view server)
{
    if (const auto index = routing::find_server(state.servers, server))
    {
        routing::on_connection_opened(state.servers, *index);
    }
}

void connection_closed(decider& state, std::string_view server)
{
    if (const auto index = routing::find_server(state.servers, server))
    {
        routing::on_connection_closed(state.servers, *index);
    }
}

} // namespace zinniaferry::node
