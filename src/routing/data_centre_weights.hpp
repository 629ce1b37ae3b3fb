/// Weights of the data centres: 0 while out, rising after a return.
#pragma once

#include "config/model.hpp"
#include "core/time.hpp"

#include <boost/json.hpp>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace zinniaferry::routing
{

struct data_centre_options
{
    core::duration ramp = std::chrono::seconds(30); ///< From return to full weight.
};

struct data_centre_state
{
    bool in_service = true;
    bool ramping = false;
    core::time_point returned; ///< Start of the ramp.
};

struct data_centre_weights
{
    data_centre_options options;
    std::map<std::string, data_centre_state, std::less<>> centres;
};

/// Builds weights without data centres. Thread safe.
data_centre_weights make_data_centre_weights(data_centre_options options);

/// Takes a new configuration. A data centre that was out, or that is new to a process with an
/// earlier configuration, starts its ramp. Not thread safe.
void apply_configuration(data_centre_weights& weights, const config::configuration& config,
                         core::time_point now);

/// Returns the weight in [0, 1]; 0 for a data centre that is out or not configured. Thread safe
/// on constant weights.
double weight_of(const data_centre_weights& weights, std::string_view data_centre,
                 core::time_point now);

/// Returns the weights for the state dump. Thread safe on constant weights.
boost::json::object dump(const data_centre_weights& weights, core::time_point now);

} // namespace zinniaferry::routing
