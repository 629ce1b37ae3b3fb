#include "admission/priority_admission.hpp"

#include <algorithm>

namespace zinniaferry::admission
{

namespace
{

constexpr core::duration update_interval = std::chrono::milliseconds(50);
/// Waiting requests that take the service longer than this to work off are a standing queue.
constexpr core::duration max_standing_wait = std::chrono::milliseconds(50);
/// A service that rejects more than this share of what arrives has no capacity left.
constexpr double max_rejected_share = 0.02;
/// Without saturation for this long, a service is no longer short. It exceeds the time in which the
/// growth of the capacity reaches saturation again while the load stays too high.
constexpr core::duration short_hold = std::chrono::seconds(2);
/// Factor on the measured capacity of a saturated service, so that the queue becomes shorter.
constexpr double drain_factor = 0.95;
/// Factor on the measured capacity while nothing shows that the service is saturated.
constexpr double growth_factor = 1.15;
/// Each priority is admitted at least this fraction of the share that all requests are. Above a
/// quarter, because the shares follow the load with a delay.
constexpr double guaranteed_fraction = 0.4;
/// Fraction of a priority's arrivals for which it is left more room than it takes on average.
constexpr double urgent_reserve = 0.1;
/// Requests of more urgent priorities that are a smaller share of all need nothing kept for them.
constexpr double negligible_share = 0.01;
/// Over which rejections are expected to return; their averages are per second.
constexpr core::duration return_window = std::chrono::seconds(1);
constexpr core::duration first_return = std::chrono::milliseconds(100);
constexpr core::duration last_return = std::chrono::milliseconds(1500);

// Responses are averaged, and follow a burst late; by Little's law, requests that run divided by
// their latency give the rate at once.
double measured_capacity(const service_load& load, core::duration usual_latency)
{
    if (usual_latency <= core::duration::zero())
    {
        return load.completions;
    }
    return std::max(load.completions, load.running / core::to_seconds(usual_latency));
}

bool is_saturated(const service_load& load, double capacity)
{
    return load.waiting > capacity * core::to_seconds(max_standing_wait) ||
           total_rejections(load) > max_rejected_share * total_arrivals(load);
}

// Divides the capacity: first what is guaranteed to each priority, and the rest by urgency.
void divide_capacity(priority_admission& state)
{
    const double arrivals = total_arrivals(state.load);
    const double share_of_all = arrivals > state.capacity ? state.capacity / arrivals : 1.0;
    const double guaranteed = guaranteed_fraction * share_of_all;
    double capacity_left = std::min(state.capacity, arrivals) * (1.0 - guaranteed_fraction) +
                           std::max(0.0, state.capacity - arrivals);
    double admitted = 1.0;
    double more_urgent = 0.0;
    for (std::size_t level = 0; level < priority_levels; ++level)
    {
        const double own = state.load.by_priority.at(level).arrivals;
        const double wanted = own * (1.0 - guaranteed);
        const double taken = std::min(wanted, capacity_left);
        admitted = std::min(admitted, taken < wanted ? guaranteed + taken / own : 1.0);
        // Free slots are left over unless the more urgent requests take them all.
        const bool needs_queues = more_urgent > state.capacity * (1.0 - guaranteed_fraction);
        state.guaranteed.at(level) = needs_queues ? guaranteed : 0.0;
        more_urgent += own;
        state.admitted.at(level) = admitted;
        capacity_left = std::max(0.0, capacity_left - wanted - own * urgent_reserve);
    }
}

// Returns whether hardly any more urgent requests arrive, for which queues would be kept short.
bool is_most_urgent(const service_load& load, std::size_t level)
{
    double more_urgent = 0.0;
    for (std::size_t other = 0; other < level; ++other)
    {
        more_urgent += load.by_priority.at(other).arrivals;
    }
    return more_urgent <= negligible_share * total_arrivals(load);
}

// Returns the requests/s of a priority whose callers are told to return.
double rejected_rate(const priority_admission& state, std::size_t level)
{
    const priority_load& load = state.load.by_priority.at(level);
    return load.rejections + load.arrivals * (1.0 - state.admitted.at(level));
}

} // namespace

const char* to_string(admission_decision value)
{
    switch (value)
    {
    case admission_decision::unrestricted:
        return "unrestricted";
    case admission_decision::free_slots:
        return "free_slots";
    default:
        return "rejected";
    }
}

void update(priority_admission& state, const service_load& load, core::duration usual_latency,
            core::time_point now)
{
    if (now - state.updated_at < update_interval)
    {
        return;
    }
    state.updated_at = now;
    state.load = load;
    const double measured = measured_capacity(load, usual_latency);
    const bool saturated = measured > 0.0 && is_saturated(load, measured);
    if (saturated)
    {
        state.is_short = true;
        state.short_until = now + short_hold;
        state.capacity = measured * drain_factor;
    }
    else if (now >= state.short_until)
    {
        state.is_short = false;
        return;
    }
    else
    {
        // Fewer responses of a service that is not saturated say nothing of its capacity.
        state.capacity = std::max(state.capacity, measured * growth_factor);
    }
    divide_capacity(state);
}

admission_decision decide(const priority_admission& state, std::uint32_t priority, double fraction)
{
    const std::size_t level = priority_level(priority);
    if (state.is_short && fraction >= state.admitted.at(level))
    {
        return admission_decision::rejected;
    }
    const bool is_guaranteed = state.is_short && fraction < state.guaranteed.at(level);
    return is_guaranteed || is_most_urgent(state.load, level) ? admission_decision::unrestricted
                                                              : admission_decision::free_slots;
}

core::duration retry_after(const priority_admission& state, std::uint32_t priority,
                           core::random_generator& random)
{
    const std::size_t own_level = priority_level(priority);
    const double window = core::to_seconds(return_window);
    double all = state.load.waiting;
    double earlier = state.load.waiting;
    for (std::size_t level = 0; level < priority_levels; ++level)
    {
        const double returning = rejected_rate(state, level) * window;
        all += returning;
        earlier += level < own_level ? returning : 0.0;
    }
    const double alike = rejected_rate(state, own_level) * window;
    const double position = earlier + alike * core::uniform(random);
    // More than the service can work off in the longest time is spread over that time.
    const double latest = core::to_seconds(last_return - first_return);
    const double seconds_each = std::min(1.0 / state.capacity, all > 0.0 ? latest / all : latest);
    return first_return + core::from_seconds(position * seconds_each);
}

} // namespace zinniaferry::admission
