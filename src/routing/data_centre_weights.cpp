#include "routing/data_centre_weights.hpp"

#include <algorithm>

namespace zinniaferry::routing
{

data_centre_weights make_data_centre_weights(data_centre_options options)
{
    data_centre_weights weights;
    weights.options = options;
    return weights;
}

void apply_configuration(data_centre_weights& weights, const config::configuration& config,
                         core::time_point now)
{
    // A process that has just started cannot know what returned when; the others have ramped.
    const bool first = weights.centres.empty();
    std::map<std::string, data_centre_state, std::less<>> next;
    for (const config::data_centre& listed : config.data_centres)
    {
        const auto known = weights.centres.find(listed.name);
        data_centre_state state;
        if (known != weights.centres.end())
        {
            state = known->second;
        }
        else
        {
            state.in_service = first;
        }
        if (listed.in_service && !state.in_service)
        {
            state.ramping = true;
            state.returned = now;
        }
        state.in_service = listed.in_service;
        next.emplace(listed.name, state);
    }
    weights.centres = std::move(next);
}

double weight_of(const data_centre_weights& weights, std::string_view data_centre,
                 core::time_point now)
{
    const auto found = weights.centres.find(data_centre);
    if (found == weights.centres.end() || !found->second.in_service)
    {
        return 0.0;
    }
    const data_centre_state& state = found->second;
    if (!state.ramping || weights.options.ramp <= core::duration::zero())
    {
        return 1.0;
    }
    const double part =
        core::to_seconds(now - state.returned) / core::to_seconds(weights.options.ramp);
    return std::clamp(part, 0.0, 1.0);
}

boost::json::object dump(const data_centre_weights& weights, core::time_point now)
{
    boost::json::object out;
    for (const auto& [name, state] : weights.centres)
    {
        out[name] = {{"in_service", state.in_service}, {"weight", weight_of(weights, name, now)}};
    }
    return out;
}

} // namespace zinniaferry::routing
