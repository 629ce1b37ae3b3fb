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

/// With fewer warm servers than this part, a daemon would send most of a service's requests to a
/// few servers, and all of them to one that fails. Then more requests help to warm up the others.
constexpr double enough_warm = 0.5;
constexpr double cold_part_when_few_warm = 0.5;

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
    const double warm = routing::warm_part(state.servers, state.weights, record.service, now);
    const double part = warm < enough_warm
                            ? cold_part_when_few_warm
                            : cold_part.at(static_cast<std::size_t>(record.priority));
    const bool warm_up_turn = core::uniform(state.random) < part;
    if (warm_up_turn)
    {
        if (auto cold = choose_cold(state, record, now, actions))
        {
            return cold;
        }
    }
    const auto best = routing::select(state.servers, state.weights, {}, record.service,
                                      record.tried, now, state.random);
    if (best && state.servers.servers[*best].state != routing::server_state::suspect)
    {
        return server_choice{*best, std::nullopt};
    }
    // Only cold or suspect servers are left. A cold one may well be better than one that fails.
    auto cold = warm_up_turn ? std::nullopt : choose_cold(state, record, now, actions);
    if (cold || !best)
    {
        return cold;
    }
    return server_choice{*best, std::nullopt};
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
    if (record.service != routing::no_service)
    {
        routing::on_finished(state.queues[record.service], how, took, now);
    }
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
        refuse(state, id, record.refused_before_sending.value_or(error_of(result)),
               shed_retry_after, now, actions);
        return;
    }
    ++state.counters.retries;
    enqueue(state, id, record, now, actions);
}

// A request may wait up to its deadline after its key was checked. With the time until a process
// counts as isolated that is longer than the 5 s after which a withdrawn key must not work.
std::optional<request_error> recheck_key(const decider& state, request_record& record,
                                         core::time_point now)
{
    if (record.account.empty())
    {
        return std::nullopt;
    }
    if (fleet::is_isolated(state.membership, now) || fleet::is_behind(state.spread, now))
    {
        return request_error::isolated;
    }
    if (record.checked_version == state.applied_version)
    {
        return std::nullopt;
    }
    record.checked_version = state.applied_version;
    const bool valid = account_of_key(state, record.presented_key) == record.account;
    return valid ? std::nullopt : std::optional(request_error::unknown_key);
}

} // namespace

void dispatch_service(decider& state, routing::service_index service, core::time_point now,
                      action_list& actions)
{
    while (service != routing::no_service && dispatch_next(state, service, now, actions))
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

bool bytes_leaving(decider& state, request_id id, core::time_point now)
{
    request_record* record = find(state, id);
    if (record == nullptr || !record->server)
    {
        return false;
    }
    record->refused_before_sending = recheck_key(state, *record, now);
    if (record->refused_before_sending)
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

} // namespace zinniaferry::node
