/// A sample of each message for the tests of the codec.
#pragma once

#include "fleet/messages.hpp"

#include <sstream>

namespace zinniaferry::fleet::test
{

inline std::vector<message> sample_messages()
{
    using namespace std::chrono_literals;
    const core::process_id from{"vm1", 0xFEDCBA9876543210ULL};
    const std::vector<message_body> bodies{
        heartbeat{5, core::sha256("d"), 1500ms, true, true, {{77, 2ms}, {78, 3ms}}},
        config_request{4},
        config_reply{6, 5, core::sha256("e"), std::string("body\0with a zero", 16)},
        lease_request{1, 20, 9},
        lease_reply{2, 10, true, {"vm2", 3}},
        lease_release{3},
        loan_request{4s, {{"account", 11, 2.5, 0.25}, {"other", 12, 0.0, 1.0}}},
        loan_reply{3s, {{"account", 11, 1.5, 3.5, 0.5}}, {12, 13}},
        loan_return{{14, 15}},
        permit_request{"server", 16, 2, 5s},
        permit_reply{"server", 17, 1, 4999999999ns},
        permit_return{"server", 18, true},
        claim_request{19, 1, 20, 21, core::unix_time(1700000000123ms), 22},
        claim_reply{23, 2, claim_reply::verdict::taken, 24},
        claim_release{25, 3, 26, 27},
        records_request{28, 29},
        records_reply{30, 31, 32, true, true, {{33, 34, 35, 36, 4, 37ns}}}};
    std::vector<message> out;
    for (const message_body& body : bodies)
    {
        out.push_back({from, body});
    }
    return out;
}

/// Returns the fields that a mix-up would most easily hide.
inline std::string describe(const message_body& body)
{
    std::ostringstream out;
    if (const auto* beat = std::get_if<heartbeat>(&body))
    {
        out << beat->config_version << beat->service_age.count() << beat->leaving
            << beat->wants_reply << beat->heard.at(1).process_hash
            << core::to_hex(beat->config_digest);
    }
    else if (const auto* reply = std::get_if<config_reply>(&body))
    {
        out << reply->version << ',' << reply->base_version << core::to_hex(reply->digest)
            << reply->body;
    }
    else if (const auto* loan = std::get_if<loan_reply>(&body))
    {
        const loan_share& share = loan->shares.at(0);
        out << share.account << share.loan_id << ',' << share.rate << ',' << share.cap << ','
            << share.tokens << ',' << loan->term.count() << ',' << loan->refused.at(1);
    }
    else if (const auto* claim = std::get_if<claim_request>(&body))
    {
        out << claim->claim_id << ',' << claim->attempt << ',' << claim->key_hash << ','
            << claim->key_hash2 << ',' << claim->first_sent.time_since_epoch().count() << ','
            << claim->max_vms;
    }
    else if (const auto* page = std::get_if<records_reply>(&body))
    {
        const claim_record& record = page->records.at(0);
        out << page->round << ',' << page->after << ',' << page->next << page->voter << page->last
            << record.key_hash << ',' << record.key_hash2 << ',' << record.claimer << ','
            << record.claim_id << ',' << record.attempt << ',' << record.age.count();
    }
    return out.str();
}

} // namespace zinniaferry::fleet::test
