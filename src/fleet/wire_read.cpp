#include "fleet/wire.hpp"

#include "fleet/codec.hpp"
#include "fleet/message_bounds.hpp"

#include <algorithm>

namespace zinniaferry::fleet
{

namespace
{

std::string string_of(capnp::Text::Reader value)
{
    if (value.size() > max_name_size)
    {
        throw out_of_bounds();
    }
    return {value.begin(), value.size()};
}

core::digest digest_of(capnp::Data::Reader value)
{
    core::digest out{};
    if (value.size() != out.size())
    {
        throw out_of_bounds();
    }
    std::copy(value.begin(), value.end(), out.begin());
    return out;
}

core::duration duration_of(std::uint64_t nanoseconds)
{
    if (nanoseconds > static_cast<std::uint64_t>(max_duration.count()))
    {
        throw out_of_bounds();
    }
    return core::duration(static_cast<std::int64_t>(nanoseconds));
}

// A list of empty structs claims any length in a few bytes, so the length is checked first.
template <class List>
std::size_t length_of(const List& list)
{
    if (list.size() > max_list_size)
    {
        throw out_of_bounds();
    }
    return list.size();
}

core::process_id read(wire::ProcessId::Reader in)
{
    return {string_of(in.getVm()), in.getIncarnation()};
}

heartbeat read(wire::Heartbeat::Reader in)
{
    heartbeat out{.config_version = in.getConfigVersion(),
                  .config_digest = digest_of(in.getConfigDigest()),
                  .service_age = std::chrono::milliseconds(in.getServiceAgeMs()),
                  .leaving = in.getLeaving(),
                  .wants_reply = in.getWantsReply()};
    const auto hashes = in.getHeardHashes();
    const auto ages = in.getHeardAgesMs();
    if (length_of(hashes) != length_of(ages))
    {
        throw out_of_bounds();
    }
    for (unsigned i = 0; i < hashes.size(); ++i)
    {
        out.heard.push_back({hashes[i], std::chrono::milliseconds(ages[i])});
    }
    return out;
}

config_request read(wire::ConfigRequest::Reader in)
{
    return {in.getHaveVersion()};
}

config_reply read(wire::ConfigReply::Reader in)
{
    const auto body = in.getBody();
    return {.version = in.getVersion(),
            .base_version = in.getBaseVersion(),
            .digest = digest_of(in.getDigest()),
            .body = std::string(body.begin(), body.end())};
}

lease_request read(wire::LeaseRequest::Reader in)
{
    return {.group = in.getGroup(), .max_vms = in.getMaxVms(), .round = in.getRound()};
}

lease_reply read(wire::LeaseReply::Reader in)
{
    return {.group = in.getGroup(),
            .round = in.getRound(),
            .granted = in.getGranted(),
            .holder = read(in.getHolder())};
}

lease_release read(wire::LeaseRelease::Reader in)
{
    return {in.getGroup()};
}

loan_request read(wire::LoanRequest::Reader in)
{
    loan_request out{.term = duration_of(in.getTerm())};
    length_of(in.getWants());
    for (const auto want : in.getWants())
    {
        out.wants.push_back({.account = string_of(want.getAccount()),
                             .loan_id = want.getLoanId(),
                             .demand = want.getDemand(),
                             .tokens = want.getTokens()});
    }
    return out;
}

loan_reply read(wire::LoanReply::Reader in)
{
    loan_reply out{.term = duration_of(in.getTerm())};
    length_of(in.getShares());
    length_of(in.getRefused());
    for (const auto share : in.getShares())
    {
        out.shares.push_back({.account = string_of(share.getAccount()),
                              .loan_id = share.getLoanId(),
                              .rate = share.getRate(),
                              .cap = share.getCap(),
                              .tokens = share.getTokens()});
    }
    for (const std::uint64_t id : in.getRefused())
    {
        out.refused.push_back(id);
    }
    return out;
}

loan_return read(wire::LoanReturn::Reader in)
{
    loan_return out;
    length_of(in.getLoanIds());
    for (const std::uint64_t id : in.getLoanIds())
    {
        out.loan_ids.push_back(id);
    }
    return out;
}

permit_request read(wire::PermitRequest::Reader in)
{
    return {.server = string_of(in.getServer()),
            .permit_id = in.getPermitId(),
            .count = in.getCount(),
            .term = duration_of(in.getTerm())};
}

permit_reply read(wire::PermitReply::Reader in)
{
    return {.server = string_of(in.getServer()),
            .permit_id = in.getPermitId(),
            .granted = in.getGranted(),
            .term = duration_of(in.getTerm())};
}

permit_return read(wire::PermitReturn::Reader in)
{
    return {.server = string_of(in.getServer()),
            .permit_id = in.getPermitId(),
            .server_warm = in.getServerWarm()};
}

claim_request read(wire::ClaimRequest::Reader in)
{
    return {.claim_id = in.getClaimId(),
            .attempt = in.getAttempt(),
            .key_hash = in.getKeyHash(),
            .key_hash2 = in.getKeyHash2(),
            .first_sent = core::unix_time(std::chrono::milliseconds(in.getFirstSentUnixMs())),
            .max_vms = in.getMaxVms()};
}

claim_reply read(wire::ClaimReply::Reader in)
{
    if (in.getResult() > wire::Verdict::NOT_VOTER)
    {
        throw out_of_bounds();
    }
    return {.claim_id = in.getClaimId(),
            .attempt = in.getAttempt(),
            .result = static_cast<claim_reply::verdict>(in.getResult()),
            .holder = in.getHolder()};
}

claim_release read(wire::ClaimRelease::Reader in)
{
    return {.claim_id = in.getClaimId(),
            .attempt = in.getAttempt(),
            .key_hash = in.getKeyHash(),
            .key_hash2 = in.getKeyHash2()};
}

records_request read(wire::RecordsRequest::Reader in)
{
    return {.round = in.getRound(), .after = in.getAfter()};
}

records_reply read(wire::RecordsReply::Reader in)
{
    records_reply out{.round = in.getRound(),
                      .after = in.getAfter(),
                      .next = in.getNext(),
                      .voter = in.getVoter(),
                      .last = in.getLast()};
    length_of(in.getRecords());
    for (const auto record : in.getRecords())
    {
        out.records.push_back({.key_hash = record.getKeyHash(),
                               .key_hash2 = record.getKeyHash2(),
                               .claimer = record.getClaimer(),
                               .claim_id = record.getClaimId(),
                               .attempt = record.getAttempt(),
                               .age = duration_of(record.getAge())});
    }
    return out;
}

message_body read_body(wire::Message::Reader in)
{
    switch (in.which())
    {
    case wire::Message::HEARTBEAT:
        return read(in.getHeartbeat());
    case wire::Message::CONFIG_REQUEST:
        return read(in.getConfigRequest());
    case wire::Message::CONFIG_REPLY:
        return read(in.getConfigReply());
    case wire::Message::LEASE_REQUEST:
        return read(in.getLeaseRequest());
    case wire::Message::LEASE_REPLY:
        return read(in.getLeaseReply());
    case wire::Message::LEASE_RELEASE:
        return read(in.getLeaseRelease());
    case wire::Message::LOAN_REQUEST:
        return read(in.getLoanRequest());
    case wire::Message::LOAN_REPLY:
        return read(in.getLoanReply());
    case wire::Message::LOAN_RETURN:
        return read(in.getLoanReturn());
    case wire::Message::PERMIT_REQUEST:
        return read(in.getPermitRequest());
    case wire::Message::PERMIT_REPLY:
        return read(in.getPermitReply());
    case wire::Message::PERMIT_RETURN:
        return read(in.getPermitReturn());
    case wire::Message::CLAIM_REQUEST:
        return read(in.getClaimRequest());
    case wire::Message::CLAIM_REPLY:
        return read(in.getClaimReply());
    case wire::Message::CLAIM_RELEASE:
        return read(in.getClaimRelease());
    case wire::Message::RECORDS_REQUEST:
        return read(in.getRecordsRequest());
    case wire::Message::RECORDS_REPLY:
        return read(in.getRecordsReply());
    }
    throw out_of_bounds(); // A kind of a later version.
}

} // namespace

message read_message(wire::Message::Reader in)
{
    return {read(in.getFrom()), read_body(in)};
}

} // namespace zinniaferry::fleet
