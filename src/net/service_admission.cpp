#include "net/service_admission.hpp"

namespace zinniaferry::net
{

namespace
{

admission::service_load current_load(const gateway& gateway, const std::string& service,
                                     core::time_point now)
{
    if (const auto* known = admission::find_recent(gateway.fleet_load, service, now))
    {
        return *known;
    }
    const auto own = gateway.load_meters.find(service);
    return own == gateway.load_meters.end() ? admission::service_load()
                                            : admission::read(own->second, now);
}

// Returns null for a service whose requests are all of one priority.
const admission::priority_admission* current_admission(gateway& gateway, const std::string& service,
                                                       core::time_point now)
{
    if (!gateway.prioritised_services.contains(service))
    {
        return nullptr;
    }
    admission::priority_admission& state = gateway.priority_admissions[service];
    const auto known = gateway.backends.service_states.find(service);
    const core::duration usual_latency = known == gateway.backends.service_states.end()
                                             ? core::duration::zero()
                                             : known->second.latency;
    admission::update(state, current_load(gateway, service, now), usual_latency, now);
    return &state;
}

core::duration return_time(gateway& gateway, const std::string& service, std::uint32_t priority,
                           core::time_point now)
{
    ++gateway.counters.rejected_by_priority.at(admission::priority_level(priority));
    admission::overload& overload = gateway.overloads[service];
    admission::on_refused(overload, now);
    const admission::priority_admission* state = current_admission(gateway, service, now);
    return state != nullptr && state->is_short
               ? admission::retry_after(*state, priority, gateway.random)
               : admission::retry_after(overload, now, gateway.random);
}

} // namespace

admission::admission_decision decide_admission(gateway& gateway, const std::string& service,
                                               std::uint32_t priority, double fraction,
                                               core::time_point now)
{
    const admission::priority_admission* state = current_admission(gateway, service, now);
    return state == nullptr ? admission::admission_decision::unrestricted
                            : admission::decide(*state, priority, fraction);
}

core::duration reject_at_arrival(gateway& gateway, const std::string& service,
                                 std::uint32_t priority, core::time_point now)
{
    ++gateway.counters.not_admitted;
    return return_time(gateway, service, priority, now);
}

core::duration refuse_for_capacity(gateway& gateway, const std::string& service,
                                   std::uint32_t priority, core::time_point now)
{
    admission::on_rejected(gateway.load_meters[service], priority, now);
    return return_time(gateway, service, priority, now);
}

} // namespace zinniaferry::net
