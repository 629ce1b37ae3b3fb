#include "node/request_flow.hpp"

#include <algorithm>

namespace zinniaferry::node
{

namespace
{

using request::request_event;

/// Part of the requests of a class that go to a cold server with a permit although a warm one is
/// free. Cold servers warm up only under work, and the least important class should do it.
constexpr std::array<double, 3> cold_part = {0.02, 0.05, 0.2};

/// Load that the caller should stay away for when a request was shed.
constexpr core::duration shed_retry_after = std::chrono::seconds(1);

request_record* find(decider& state, request_id id)
{
    const auto found = state.requests.find(id);
    return found == state.requests.end() ? nullptr : &found->second;
}

request::decision apply(decider& state, request_record& record, request_event event,
                        core::time_point now)
{
    return request::apply(record.life, event, state.retries, now);
}

std::uint64_t queue_key(request_id id)
{
    return id;
}

routing::queued_request queue_entry(const request_record& record, request_id id,
                                    core::time_point now)
{
    return {.id = queue_key(id),
            .priority = record.priority,
            .deadline = record.life.deadline,
            .enqueued = now};
}

void count_refusal(decider& state, const request_record& record, request_error error)
{
    ++state.counters.refused[static_cast<std::size_t>(error)];
    if (!record.account.empty())
    {
        account_counters& counters = state.accounts[record.account];
        ++(error == request_error::over_limit ? counters.over_limit : counters.other);
    }
}

// Ends what the request still holds elsewhere and forgets it.
void forget(decider& state, request_id id, core::time_point now, action_list& actions)
{
    request_record* record = find(state, id);
    if (record == nullptr)
    {
        return;
    }
    if (record->claim != 0)
    {
        const bool did_not_run = record->life.state == request::request_state::not_run;
        // The key of a request that did not run must be free for the caller's next attempt.
        append(state, actions,
               did_not_run ? fleet::end_claim_not_run(state.claims, record->claim, now)
                           : fleet::end_claim(state.claims, record->claim, now));
        state.request_of_claim.erase(record->claim);
    }
    state.requests.erase(id);
}

void refuse(decider& state, request_id id, request_error error, core::duration retry_after,
            core::time_point now, action_list& actions)
{
    request_record* record = find(state, id);
    if (record == nullptr)
    {
        return;
    }
    const bool not_run = record->life.state == request::request_state::not_run;
    count_refusal(state, *record, error);
    state.counters.unknown_outcomes += not_run ? 0 : 1;
    actions.push_back(refusal{.request = id,
                              .error = error,
                              .ran = not_run ? run_state::not_run : run_state::unknown,
                              .retry_after = retry_after});
    forget(state, id, now, actions);
}

// A refusal of a request that has no record yet.
action_list refuse_at_once(decider& state, request_id id, const request_record& record,
                           request_error error, core::duration retry_after = {})
{
    count_refusal(state, record, error);
    return {refusal{.request = id, .error = error, .retry_after = retry_after}};
}

// Refuses what the queue gave up to make room for more important requests.
void refuse_shed(decider& state, const std::vector<routing::queued_request>& shed,
                 core::time_point now, action_list& actions)
{
    for (const routing::queued_request& entry : shed)
    {
        if (request_record* record = find(state, entry.id))
        {
            apply(state, *record, request_event::refuse, now);
            refuse(state, entry.id, request_error::overloaded, shed_retry_after, now, actions);
        }
    }
}

void enqueue(decider& state, request_id id, request_record& record, core::time_point now,
             action_list& actions)
{
    refuse_shed(state,
                routing::enqueue(state.queues[record.service], queue_entry(record, id, now), now),
                now, actions);
}

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

struct server_choice
{
    routing::server_index server = 0;
    std::optional<routing::permit_use> permit;
};

std::string holder_of(const decider& state, const std::string& server, core::time_point now)
{
    const std::uint32_t group = routing::permit_group_of(state.permits, server);
    return fleet::known_holder(state.lease, group, now).vm;
}

// Takes a permit that has been granted for a cold server, or asks for one.
std::optional<server_choice> choose_cold(decider& state, const request_record& record,
                                         core::time_point now, action_list& actions)
{
    const auto cold =
        routing::select_cold(state.servers, state.weights, record.service, now, state.random);
    if (!cold)
    {
        return std::nullopt;
    }
    const std::string& name = state.servers.servers[*cold].name;
    auto permit = routing::use_permit(state.permits, name, now);
    if (!permit)
    {
        append(state, actions,
               routing::request_permit(state.permits, name, holder_of(state, name, now),
                                       record.life.deadline, now));
        // The holder grants its own requests at once.
        permit = routing::use_permit(state.permits, name, now);
    }
    return permit ? std::optional(server_choice{*cold, permit}) : std::nullopt;
}

// Takes a permit that was asked for earlier. It goes back unused soon after the holder granted it,
// so the next request of the service uses it whatever that request's own turn is.
std::optional<server_choice> choose_granted(decider& state, const request_record& record,
                                            core::time_point now)
{
    for (const auto& [id, permit] : state.permits.held)
    {
        const auto index = permit.granted && !permit.in_use
                               ? routing::find_server(state.servers, permit.server)
                               : std::nullopt;
        if (!index || state.servers.servers[*index].service != record.service ||
            !routing::may_try_cold(state.servers, state.weights, *index, now))
        {
            continue;
        }
        if (const auto use = routing::use_permit(state.permits, permit.server, now))
        {
            return server_choice{*index, use};
        }
    }
    return std::nullopt;
}

std::optional<server_choice> choose_server(decider& state, const request_record& record,
                                           core::time_point now, action_list& actions)
{
    if (auto granted = choose_granted(state, record, now))
    {
        return granted;
    }
    const bool warm_up_turn =
        core::uniform(state.random) < cold_part.at(static_cast<std::size_t>(record.priority));
    if (warm_up_turn)
    {
        if (auto cold = choose_cold(state, record, now, actions))
        {
            return cold;
        }
    }
    if (const auto warm = routing::select(state.servers, state.weights, {}, record.service,
                                          record.tried, now, state.random))
    {
        return server_choice{*warm, std::nullopt};
    }
    return warm_up_turn ? std::nullopt : choose_cold(state, record, now, actions);
}

void send_to(decider& state, request_id id, request_record& record, const server_choice& choice,
             core::time_point now, action_list& actions)
{
    apply(state, record, request_event::dispatch, now);
    record.server = choice.server;
    record.sent = now;
    core::time_point deadline = record.life.deadline;
    if (choice.permit)
    {
        record.permit = choice.permit->permit_id;
        deadline = std::min(deadline, choice.permit->expires);
    }
    routing::on_sent(state.servers, choice.server, now);
    const routing::server& server = state.servers.servers[choice.server];
    actions.push_back(dispatch{.request = id,
                               .server = server.name,
                               .address = server.address,
                               .account = record.account,
                               .deadline = deadline,
                               .idempotent = record.idempotent});
}

// Sends the next request of the queue. Returns false when there is none or no server for it.
bool dispatch_next(decider& state, routing::service_index service, core::time_point now,
                   action_list& actions)
{
    routing::admission_queue& queue = state.queues[service];
    const auto next = routing::dequeue(queue, now);
    if (!next)
    {
        return false;
    }
    request_record* record = find(state, next->id);
    if (record == nullptr)
    {
        routing::on_finished(queue, routing::finish::ignored, {}, now);
        return true;
    }
    const auto choice = choose_server(state, *record, now, actions);
    if (!choice)
    {
        routing::on_finished(queue, routing::finish::ignored, {}, now);
        refuse_shed(state, routing::enqueue(queue, *next, now), now, actions);
        return false;
    }
    send_to(state, next->id, *record, *choice, now, actions);
    return true;
}

// Tells the queue, the server table and the permit holder how an attempt ended.
void settle_attempt(decider& state, request_record& record, const attempt_result& result,
                    core::time_point now, action_list& actions)
{
    const routing::server_index server = *record.server;
    const core::duration took = now - record.sent;
    routing::finish how = routing::finish::failed;
    routing::permit_end permit = routing::permit_end::unknown;
    switch (result.end)
    {
    case attempt_end::answered:
        how = result.server_did_not_run ? routing::finish::refused : routing::finish::answered;
        permit = routing::permit_end::finished;
        routing::on_answered(state.servers, server,
                             {.latency = took,
                              .error = result.status >= 500 && !result.server_did_not_run,
                              .not_run = result.server_did_not_run,
                              .report = routing::parse_load_report(result.load_report)},
                             now);
        break;
    case attempt_end::connect_failed:
        how = routing::finish::ignored;
        permit = routing::permit_end::finished;
        routing::on_failed(state.servers, server, routing::failure::connect_refused, took, now);
        break;
    case attempt_end::not_sent:
        how = routing::finish::ignored;
        permit = routing::permit_end::finished;
        routing::on_failed(state.servers, server, routing::failure::cancelled, took, now);
        break;
    case attempt_end::lost:
    case attempt_end::incomplete:
        routing::on_failed(state.servers, server, routing::failure::connection_lost, took, now);
        break;
    case attempt_end::timed_out:
        routing::on_failed(state.servers, server, routing::failure::timeout, took, now);
        break;
    case attempt_end::caller_gone:
        how = routing::finish::ignored;
        routing::on_failed(state.servers, server, routing::failure::cancelled, took, now);
        break;
    }
    routing::on_finished(state.queues[record.service], how, took, now);
    if (record.permit)
    {
        const bool warm = state.servers.servers[server].state == routing::server_state::serving;
        append(state, actions,
               routing::return_permit(state.permits, *record.permit, permit, warm, now));
        record.permit.reset();
    }
    record.server.reset();
}

request_event event_of(const attempt_result& result)
{
    switch (result.end)
    {
    case attempt_end::answered:
        return result.server_did_not_run ? request_event::server_did_not_run
                                         : request_event::answer;
    case attempt_end::connect_failed:
    case attempt_end::not_sent:
        return request_event::connect_failed;
    case attempt_end::lost:
    case attempt_end::incomplete:
        return request_event::lost;
    case attempt_end::timed_out:
        return request_event::deadline;
    case attempt_end::caller_gone:
        return request_event::cancel;
    }
    return request_event::lost;
}

request_error error_of(const attempt_result& result)
{
    switch (result.end)
    {
    case attempt_end::answered:
        return request_error::overloaded;
    case attempt_end::connect_failed:
        return request_error::no_server;
    case attempt_end::not_sent:
        return request_error::claim_undecided;
    case attempt_end::lost:
        return request_error::server_lost;
    case attempt_end::incomplete:
        return request_error::incomplete_answer;
    case attempt_end::timed_out:
        return request_error::deadline_expired;
    case attempt_end::caller_gone:
        return request_error::cancelled;
    }
    return request_error::server_lost;
}

// A request that failed to connect often enough, or whose claim ran out, leaves the queue.
bool gives_up(const decider& state, const request_record& record, const attempt_result& result)
{
    return result.end == attempt_end::not_sent ||
           record.connect_failures >= state.options.max_connect_attempts;
}

void send_again(decider& state, request_id id, request_record& record, const attempt_result& result,
                core::time_point now, action_list& actions)
{
    if (gives_up(state, record, result))
    {
        apply(state, record, request_event::refuse, now);
        refuse(state, id, error_of(result), shed_retry_after, now, actions);
        return;
    }
    ++state.counters.retries;
    enqueue(state, id, record, now, actions);
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

void append(decider& state, action_list& actions, std::vector<fleet::outgoing> messages)
{
    state.counters.messages_out += messages.size();
    for (fleet::outgoing& message : messages)
    {
        actions.emplace_back(std::move(message));
    }
}

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

void dispatch_service(decider& state, routing::service_index service, core::time_point now,
                      action_list& actions)
{
    while (dispatch_next(state, service, now, actions))
    {
    }
}

void dispatch_all(decider& state, core::time_point now, action_list& actions)
{
    for (routing::service_index service = 0; service < state.queues.size(); ++service)
    {
        if (routing::waiting_count(state.queues[service]) > 0)
        {
            dispatch_service(state, service, now, actions);
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

bool bytes_leaving(decider& state, request_id id, core::time_point now)
{
    request_record* record = find(state, id);
    if (record == nullptr || !record->server)
    {
        return false;
    }
    if (record->claim != 0 && !fleet::start_forwarding(state.claims, record->claim, now))
    {
        return false;
    }
    return apply(state, *record, request_event::bytes_left, now).accepted;
}

action_list attempt_ended(decider& state, request_id id, const attempt_result& result,
                          core::time_point now)
{
    action_list actions;
    request_record* record = find(state, id);
    if (record == nullptr || !record->server)
    {
        return actions;
    }
    if (result.end != attempt_end::answered || result.server_did_not_run)
    {
        record->tried.push_back(*record->server);
    }
    record->connect_failures += result.end == attempt_end::connect_failed ? 1 : 0;
    const routing::service_index service = record->service;
    settle_attempt(state, *record, result, now, actions);
    const request::decision decision = apply(state, *record, event_of(result), now);
    if (decision.result == request::outcome::answered)
    {
        ++state.counters.answered;
        actions.push_back(relay_answer{.request = id});
        forget(state, id, now, actions);
    }
    else if (decision.send_again)
    {
        send_again(state, id, *record, result, now, actions);
    }
    else
    {
        const bool shed = result.end == attempt_end::answered;
        refuse(state, id, error_of(result), shed ? shed_retry_after : core::duration(), now,
               actions);
    }
    dispatch_service(state, service, now, actions);
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
