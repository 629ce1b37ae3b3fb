/// The bounds of the operators' platform that the checks apply.
#pragma once

#include "core/time.hpp"

namespace zinniaferry::model
{

struct bounds
{
    /// A configuration is in force on all daemons in touch this long after its confirmation.
    core::duration config_apply = std::chrono::seconds(2);
    /// A daemon does not return to an older configuration this long after it has shown a newer one.
    core::duration back = std::chrono::milliseconds(250);
    core::duration drain = std::chrono::seconds(2); ///< After a server is listed as leaving.
    core::duration evac = std::chrono::seconds(5);  ///< After a data centre leaves service.
    core::duration quota_window = std::chrono::seconds(5);
    double quota_overage = 0.25;
    double quota_slack = 20.0; ///< Requests.
    core::duration retry_window = std::chrono::seconds(10);
    double retry_ratio = 0.2;
    double retry_slack = 64.0; ///< Arrivals.
    double warmup_overage = 1.5;
    double warmup_slack = 5.0; ///< Requests.
    /// A daemon is in touch after this long without disturbance.
    core::duration stable = std::chrono::seconds(3);
    /// Wrongful 401 and 404 responses that are tolerated: a number, and a fraction of all requests.
    double denied_slack = 5.0;
    double denied_fraction = 1.0 / 500.0;
    /// The same by daemons out of touch, if every configuration allows the request.
    double denied_out_of_touch = 10.0;
    /// Requests that may run on more servers than their route's attempts.
    std::size_t over_attempts = 3;
};

} // namespace zinniaferry::model
