#include "fleet/message_bounds.hpp"

#include "fleet/codec.hpp"

#include <algorithm>
#include <cmath>

namespace zinniaferry::fleet
{

namespace
{

bool is_valid(const std::string& name)
{
    return name.size() <= max_name_size;
}

bool is_valid(core::duration value)
{
    return value >= core::duration::zero() && value <= max_duration;
}

bool is_valid(double value)
{
    return std::isfinite(value) && value >= 0.0;
}

bool is_valid(const heard_process& value)
{
    return is_valid(value.age);
}

bool is_valid(const loan_want& value)
{
    return is_valid(value.account) && is_valid(value.demand) && is_valid(value.tokens);
}

bool is_valid(const loan_share& value)
{
    return is_valid(value.account) && is_valid(value.rate) && is_valid(value.cap) &&
           is_valid(value.tokens);
}

bool is_valid(const claim_record& value)
{
    return is_valid(value.age);
}

template <class Entry>
bool all_valid(const std::vector<Entry>& list)
{
    return list.size() <= max_list_size &&
           std::all_of(list.begin(), list.end(),
                       [](const Entry& entry) { return is_valid(entry); });
}

bool is_valid(const heartbeat& value)
{
    return is_valid(value.service_age) && all_valid(value.heard);
}

bool is_valid(const config_request&)
{
    return true;
}

bool is_valid(const config_reply& value)
{
    return value.body.size() <= max_body_size;
}

bool is_valid(const lease_request&)
{
    return true;
}

bool is_valid(const lease_reply& value)
{
    return is_valid(value.holder.vm);
}

bool is_valid(const lease_release&)
{
    return true;
}

bool is_valid(const loan_request& value)
{
    return is_valid(value.term) && all_valid(value.wants);
}

bool is_valid(const loan_reply& value)
{
    return is_valid(value.term) && all_valid(value.shares) && value.refused.size() <= max_list_size;
}

bool is_valid(const loan_return& value)
{
    return value.loan_ids.size() <= max_list_size;
}

bool is_valid(const permit_request& value)
{
    return is_valid(value.server) && is_valid(value.term);
}

bool is_valid(const permit_reply& value)
{
    return is_valid(value.server) && is_valid(value.term);
}

bool is_valid(const permit_return& value)
{
    return is_valid(value.server);
}

bool is_valid(const claim_request&)
{
    return true;
}

bool is_valid(const claim_reply&)
{
    return true;
}

bool is_valid(const claim_release&)
{
    return true;
}

bool is_valid(const records_request&)
{
    return true;
}

bool is_valid(const records_reply& value)
{
    return all_valid(value.records);
}

} // namespace

bool is_within_bounds(const message& value)
{
    return !value.from.vm.empty() && is_valid(value.from.vm) &&
           std::visit([](const auto& body) { return is_valid(body); }, value.body);
}

} // namespace zinniaferry::fleet
