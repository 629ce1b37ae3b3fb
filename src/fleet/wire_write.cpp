#include "fleet/wire.hpp"

#include "fleet/message_bounds.hpp"

#include <algorithm>
#include <limits>

namespace zinniaferry::fleet
{

namespace
{

capnp::Text::Reader text_of(const std::string& value)
{
    return {value.c_str(), value.size()};
}

template <class Bytes>
capnp::Data::Reader data_of(const Bytes& value)
{
    return {reinterpret_cast<const kj::byte*>(value.data()), value.size()};
}

std::uint64_t nanoseconds_of(core::duration value)
{
    return static_cast<std::uint64_t>(value.count());
}

// Ages are rounded up: a contact must not seem more recent than it is.
template <class Number>
Number milliseconds_of(core::duration age)
{
    const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(age).count();
    return static_cast<Number>(
        std::clamp<std::int64_t>(rounded, 0, std::numeric_limits<Number>::max()));
}

void write(const core::process_id& value, wire::ProcessId::Builder out)
{
    out.setVm(text_of(value.vm));
    out.setIncarnation(value.incarnation);
}

void write(const heartbeat& value, wire::Message::Builder message)
{
    auto out = message.initHeartbeat();
    out.setConfigVersion(value.config_version);
    out.setConfigDigest(data_of(value.config_digest));
    out.setServiceAgeMs(milliseconds_of<std::uint32_t>(std::min(value.service_age, never_heard)));
    out.setLeaving(value.leaving);
    out.setWantsReply(value.wants_reply);
    auto hashes = out.initHeardHashes(static_cast<unsigned>(value.heard.size()));
    auto ages = out.initHeardAgesMs(static_cast<unsigned>(value.heard.size()));
    for (unsigned i = 0; i < value.heard.size(); ++i)
    {
        hashes.set(i, value.heard[i].process_hash);
        ages.set(i, milliseconds_of<std::uint16_t>(value.heard[i].age));
    }
}

void write(const config_request& value, wire::Message::Builder message)
{
    message.initConfigRequest().setHaveVersion(value.have_version);
}

void write(const config_reply& value, wire::Message::Builder message)
{
    auto out = message.initConfigReply();
    out.setVersion(value.version);
    out.setBaseVersion(value.base_version);
    out.setDigest(data_of(value.digest));
    out.setBody(data_of(value.body));
}

void write(const lease_request& value, wire::Message::Builder message)
{
    auto out = message.initLeaseRequest();
    out.setGroup(value.group);
    out.setMaxVms(value.max_vms);
    out.setRound(value.round);
}

void write(const lease_reply& value, wire::Message::Builder message)
{
    auto out = message.initLeaseReply();
    out.setGroup(value.group);
    out.setRound(value.round);
    out.setGranted(value.granted);
    write(value.holder, out.initHolder());
}

void write(const lease_release& value, wire::Message::Builder message)
{
    message.initLeaseRelease().setGroup(value.group);
}

void write(const loan_request& value, wire::Message::Builder message)
{
    auto out = message.initLoanRequest();
    out.setTerm(nanoseconds_of(value.term));
    auto wants = out.initWants(static_cast<unsigned>(value.wants.size()));
    for (unsigned i = 0; i < value.wants.size(); ++i)
    {
        wants[i].setAccount(text_of(value.wants[i].account));
        wants[i].setLoanId(value.wants[i].loan_id);
        wants[i].setDemand(value.wants[i].demand);
        wants[i].setTokens(value.wants[i].tokens);
    }
}

void write(const loan_reply& value, wire::Message::Builder message)
{
    auto out = message.initLoanReply();
    out.setTerm(nanoseconds_of(value.term));
    auto shares = out.initShares(static_cast<unsigned>(value.shares.size()));
    for (unsigned i = 0; i < value.shares.size(); ++i)
    {
        shares[i].setAccount(text_of(value.shares[i].account));
        shares[i].setLoanId(value.shares[i].loan_id);
        shares[i].setRate(value.shares[i].rate);
        shares[i].setCap(value.shares[i].cap);
        shares[i].setTokens(value.shares[i].tokens);
    }
    auto refused = out.initRefused(static_cast<unsigned>(value.refused.size()));
    for (unsigned i = 0; i < value.refused.size(); ++i)
    {
        refused.set(i, value.refused[i]);
    }
}

void write(const loan_return& value, wire::Message::Builder message)
{
    auto ids = message.initLoanReturn().initLoanIds(static_cast<unsigned>(value.loan_ids.size()));
    for (unsigned i = 0; i < value.loan_ids.size(); ++i)
    {
        ids.set(i, value.loan_ids[i]);
    }
}

void write(const permit_request& value, wire::Message::Builder message)
{
    auto out = message.initPermitRequest();
    out.setServer(text_of(value.server));
    out.setPermitId(value.permit_id);
    out.setCount(value.count);
    out.setTerm(nanoseconds_of(value.term));
}

void write(const permit_reply& value, wire::Message::Builder message)
{
    auto out = message.initPermitReply();
    out.setServer(text_of(value.server));
    out.setPermitId(value.permit_id);
    out.setGranted(value.granted);
    out.setTerm(nanoseconds_of(value.term));
}

void write(const permit_return& value, wire::Message::Builder message)
{
    auto out = message.initPermitReturn();
    out.setServer(text_of(value.server));
    out.setPermitId(value.permit_id);
    out.setServerWarm(value.server_warm);
}

void write(const claim_request& value, wire::Message::Builder message)
{
    auto out = message.initClaimRequest();
    out.setClaimId(value.claim_id);
    out.setAttempt(value.attempt);
    out.setKeyHash(value.key_hash);
    out.setKeyHash2(value.key_hash2);
    out.setFirstSentUnixMs(value.first_sent.time_since_epoch().count());
    out.setMaxVms(value.max_vms);
}

void write(const claim_reply& value, wire::Message::Builder message)
{
    auto out = message.initClaimReply();
    out.setClaimId(value.claim_id);
    out.setAttempt(value.attempt);
    out.setResult(static_cast<wire::Verdict>(value.result));
    out.setHolder(value.holder);
}

void write(const claim_release& value, wire::Message::Builder message)
{
    auto out = message.initClaimRelease();
    out.setClaimId(value.claim_id);
    out.setAttempt(value.attempt);
    out.setKeyHash(value.key_hash);
    out.setKeyHash2(value.key_hash2);
}

void write(const records_request& value, wire::Message::Builder message)
{
    auto out = message.initRecordsRequest();
    out.setRound(value.round);
    out.setAfter(value.after);
}

void write(const records_reply& value, wire::Message::Builder message)
{
    auto out = message.initRecordsReply();
    out.setRound(value.round);
    out.setAfter(value.after);
    out.setNext(value.next);
    out.setVoter(value.voter);
    out.setLast(value.last);
    auto records = out.initRecords(static_cast<unsigned>(value.records.size()));
    for (unsigned i = 0; i < value.records.size(); ++i)
    {
        records[i].setKeyHash(value.records[i].key_hash);
        records[i].setKeyHash2(value.records[i].key_hash2);
        records[i].setClaimer(value.records[i].claimer);
        records[i].setClaimId(value.records[i].claim_id);
        records[i].setAttempt(value.records[i].attempt);
        records[i].setAge(nanoseconds_of(value.records[i].age));
    }
}

} // namespace

void write_message(const message& value, wire::Message::Builder out)
{
    write(value.from, out.initFrom());
    std::visit([&](const auto& body) { write(body, out); }, value.body);
}

} // namespace zinniaferry::fleet
