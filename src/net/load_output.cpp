#include "net/load_output.hpp"

#include <spdlog/fmt/fmt.h>

#include <iterator>
#include <set>

namespace zinniaferry::net
{

namespace
{

struct load_value
{
    const char* name;
    double value;
};

std::array<load_value, 5> total_values(const admission::service_load& load)
{
    return {{{"running", load.running},
             {"waiting", load.waiting},
             {"completions_per_s", load.completions},
             {"arrivals_per_s", admission::total_arrivals(load)},
             {"rejections_per_s", admission::total_rejections(load)}}};
}

void append_loads(std::string& out, const char* scope, const std::string& service,
                  const admission::service_load& load)
{
    // A JSON string is escaped as a label is.
    const std::string label = boost::json::serialize(boost::json::string(service));
    for (const load_value& entry : total_values(load))
    {
        fmt::format_to(std::back_inserter(out),
                       "zinnia_service_load{{scope=\"{}\",service={},value=\"{}\"}} {:.2f}\n",
                       scope, label, entry.name, entry.value);
    }
}

boost::json::object dump_load(const admission::service_load& load)
{
    boost::json::object out;
    for (const load_value& entry : total_values(load))
    {
        out[entry.name] = entry.value;
    }
    boost::json::array arrivals;
    boost::json::array rejections;
    for (const admission::priority_load& level : load.by_priority)
    {
        arrivals.push_back(level.arrivals);
        rejections.push_back(level.rejections);
    }
    out["arrivals_by_priority"] = std::move(arrivals);
    out["rejections_by_priority"] = std::move(rejections);
    return out;
}

std::set<std::string> loaded_services(const gateway& gateway)
{
    std::set<std::string> out;
    for (const auto& [service, meter] : gateway.load_meters)
    {
        out.insert(service);
    }
    for (const auto& [service, load] : gateway.fleet_load.by_service)
    {
        out.insert(service);
    }
    return out;
}

} // namespace

void append_load_metrics(std::string& out, const gateway& gateway, core::time_point now)
{
    out += "# HELP zinnia_service_load Load of a service, of this daemon and of the fleet.\n"
           "# TYPE zinnia_service_load gauge\n";
    for (const std::string& service : loaded_services(gateway))
    {
        const auto meter = gateway.load_meters.find(service);
        if (meter != gateway.load_meters.end())
        {
            append_loads(out, "daemon", service, admission::read(meter->second, now));
        }
        const auto* load = admission::find_recent(gateway.fleet_load, service, now);
        if (load != nullptr)
        {
            append_loads(out, "fleet", service, *load);
        }
    }
}

boost::json::object dump_loads(const gateway& gateway, core::time_point now)
{
    boost::json::object out;
    for (const std::string& service : loaded_services(gateway))
    {
        boost::json::object entry;
        const auto meter = gateway.load_meters.find(service);
        if (meter != gateway.load_meters.end())
        {
            entry["daemon"] = dump_load(admission::read(meter->second, now));
        }
        const auto* load = admission::find_recent(gateway.fleet_load, service, now);
        if (load != nullptr)
        {
            entry["fleet"] = dump_load(*load);
        }
        out[service] = std::move(entry);
    }
    return out;
}

} // namespace zinniaferry::net
