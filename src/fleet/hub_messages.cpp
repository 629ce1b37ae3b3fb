#include "fleet/hub_messages.hpp"

#include "core/compression.hpp"
#include "fleet/hub.capnp.h"
#include "fleet/load_encoding.hpp"

#include <boost/endian/conversion.hpp>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>
#include <cmath>

namespace zinniaferry::fleet
{

namespace
{

constexpr int max_nesting = 8;
/// Smaller messages gain little by compression.
constexpr std::size_t min_compressed_bytes = 2048;
constexpr std::size_t max_traversal_words = 4 * max_hub_message_bytes / sizeof(capnp::word);

std::string text(capnp::Text::Reader value)
{
    return {value.begin(), value.size()};
}

/// Stands for a time that is not stated.
constexpr std::uint32_t no_time_us = 0xffffffff;

std::uint32_t write_time(const std::optional<core::duration>& time)
{
    // An hour; longer times do not count anyway.
    constexpr std::int64_t max_us = 3600LL * 1'000'000LL;
    if (!time)
    {
        return no_time_us;
    }
    const auto us = std::chrono::duration_cast<std::chrono::microseconds>(*time).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(us, 0, max_us));
}

std::optional<core::duration> read_time(std::uint32_t us)
{
    return us == no_time_us ? std::nullopt
                            : std::optional<core::duration>(std::chrono::microseconds(us));
}

/// Stands for an era that is not stated.
constexpr std::uint64_t no_era = 0xffffffffffffffff;

store_era read_era(std::uint64_t era)
{
    return era == no_era ? std::nullopt : store_era(era);
}

struct message_writer
{
    wire::HubMessage::Builder out;

    void operator()(const hello_message& value)
    {
        auto hello = out.initHello();
        hello.setVm(value.self.vm);
        hello.setAddress(value.self.address);
        hello.setLinkMbps(value.self.link_mbps);
        hello.setDataCentre(value.self.data_centre);
        hello.setIncarnation(value.incarnation);
        hello.setEra(value.era.value_or(no_era));
        hello.setRevision(value.revision);
        hello.setAcceptsCompressed(value.accepts_compressed);
        hello.setMembersKnown(value.members_known);
    }
    void operator()(const report_message& value)
    {
        auto report = out.initReport();
        report.setPrimary(value.primary);
        report.setSelectionRate(value.selection_rate);
        report.setNumber(value.number);
        report.setPrimaryTimeUs(write_time(value.primary_time));
        write_loads(report.initLoads(static_cast<unsigned>(value.loads.size())), value.loads);
    }
    void operator()(const update_message& value)
    {
        auto update = out.initUpdate();
        update.setEra(value.era.value_or(no_era));
        update.setRevision(value.revision);
        update.setComplete(value.complete);
        update.setAgeUs(static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(value.age).count()));
        update.setLastReport(value.last_report);
        write_loads(update.initLoads(static_cast<unsigned>(value.loads.size())), value.loads);
        auto changes = update.initChanges(static_cast<unsigned>(value.changes.size()));
        for (unsigned i = 0; i < changes.size(); ++i)
        {
            const entry_change& change = value.changes[i];
            changes[i].setKey(change.key);
            changes[i].setRevision(change.revision);
            changes[i].setRemoved(!change.value.has_value() && !change.unchanged);
            changes[i].setUnchanged(change.unchanged);
            if (change.value)
            {
                changes[i].setValue(kj::arrayPtr(
                    reinterpret_cast<const kj::byte*>(change.value->data()), change.value->size()));
            }
        }
    }
    void operator()(const ask_message& value)
    {
        auto ask = out.initAsk();
        ask.setNumber(value.number);
        ask.setAccount(value.account);
        ask.setPrimaryTimeUs(write_time(value.primary_time));
    }
    void operator()(const grant_message& value)
    {
        auto grant = out.initGrant();
        grant.setNumber(value.number);
        grant.setRequests(value.requests);
        grant.setRetryAfterUs(static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(value.retry_after).count()));
    }
    void operator()(const fleet_message& value)
    {
        auto fleet = out.initFleet();
        fleet.setMembersKnown(value.members_known);
        fleet.setSettled(value.settled);
        fleet.setSelectionRate(value.selection_rate);
        auto members = fleet.initMembers(static_cast<unsigned>(value.members.size()));
        for (unsigned i = 0; i < members.size(); ++i)
        {
            members[i].setVm(value.members[i].vm);
            members[i].setAddress(value.members[i].address);
            members[i].setLinkMbps(value.members[i].link_mbps);
            members[i].setDataCentre(value.members[i].data_centre);
        }
    }
};

// A rate that is not a number would spoil every sum that it is part of.
float read_rate(float rate)
{
    return std::isfinite(rate) ? std::max(0.0F, rate) : 0.0F;
}

update_message read_update(wire::Update::Reader update)
{
    // One day, as a greater age carries no more information. The conversion to nanoseconds would
    // overflow only from far greater values.
    constexpr std::uint64_t max_age_us = 86'400ULL * 1'000'000ULL;
    update_message out;
    out.era = read_era(update.getEra());
    out.revision = update.getRevision();
    out.complete = update.getComplete();
    out.last_report = update.getLastReport();
    out.age = std::chrono::microseconds(std::min(update.getAgeUs(), max_age_us));
    out.loads = read_loads(update.getLoads());
    for (const auto& change : update.getChanges())
    {
        entry_change entry{.key = text(change.getKey()), .revision = change.getRevision()};
        entry.unchanged = change.getUnchanged();
        if (!change.getRemoved() && !entry.unchanged)
        {
            const auto value = change.getValue();
            entry.value = std::string(value.asChars().begin(), value.size());
        }
        out.changes.push_back(std::move(entry));
    }
    return out;
}

fleet_message read_fleet(wire::Fleet::Reader fleet)
{
    fleet_message out;
    out.members_known = fleet.getMembersKnown();
    out.settled = fleet.getSettled();
    out.selection_rate = read_rate(fleet.getSelectionRate());
    for (const auto& entry : fleet.getMembers())
    {
        out.members.push_back({.vm = text(entry.getVm()),
                               .address = text(entry.getAddress()),
                               .link_mbps = entry.getLinkMbps(),
                               .data_centre = text(entry.getDataCentre())});
    }
    return out;
}

grant_message read_grant(wire::Grant::Reader grant)
{
    // One minute.
    constexpr std::uint64_t max_retry_after_us = 60ULL * 1'000'000ULL;
    return {.number = grant.getNumber(),
            .requests = grant.getRequests(),
            .retry_after =
                std::chrono::microseconds(std::min(grant.getRetryAfterUs(), max_retry_after_us))};
}

hub_message read_message(wire::HubMessage::Reader message)
{
    switch (message.which())
    {
    case wire::HubMessage::HELLO:
    {
        const auto hello = message.getHello();
        return hello_message{.self = {.vm = text(hello.getVm()),
                                      .address = text(hello.getAddress()),
                                      .link_mbps = hello.getLinkMbps(),
                                      .data_centre = text(hello.getDataCentre())},
                             .incarnation = hello.getIncarnation(),
                             .era = read_era(hello.getEra()),
                             .revision = hello.getRevision(),
                             .accepts_compressed = hello.getAcceptsCompressed(),
                             .members_known = hello.getMembersKnown()};
    }
    case wire::HubMessage::REPORT:
        return report_message{.primary = message.getReport().getPrimary(),
                              .selection_rate = read_rate(message.getReport().getSelectionRate()),
                              .number = message.getReport().getNumber(),
                              .primary_time = read_time(message.getReport().getPrimaryTimeUs()),
                              .loads = read_loads(message.getReport().getLoads())};
    case wire::HubMessage::UPDATE:
        return read_update(message.getUpdate());
    case wire::HubMessage::FLEET:
        return read_fleet(message.getFleet());
    case wire::HubMessage::ASK:
        return ask_message{.number = message.getAsk().getNumber(),
                           .account = text(message.getAsk().getAccount()),
                           .primary_time = read_time(message.getAsk().getPrimaryTimeUs())};
    case wire::HubMessage::GRANT:
        return read_grant(message.getGrant());
    case wire::HubMessage::COMPRESSED:
        break; // Only the outermost message may be compressed.
    }
    throw KJ_EXCEPTION(FAILED, "unknown type of hub message");
}

std::string write_packed(capnp::MessageBuilder& builder)
{
    kj::VectorOutputStream stream;
    capnp::writePackedMessage(stream, builder);
    const kj::ArrayPtr<kj::byte> bytes = stream.getArray();
    return {bytes.asChars().begin(), bytes.size()};
}

std::string encode_compressed(std::string_view message)
{
    const std::string bytes = core::compress(message);
    capnp::MallocMessageBuilder builder(bytes.size() / sizeof(capnp::word) + 16);
    auto compressed = builder.initRoot<wire::HubMessage>().initCompressed();
    compressed.setSize(static_cast<std::uint32_t>(message.size()));
    compressed.setBytes(
        kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    return write_packed(builder);
}

std::string read_compressed(wire::Compressed::Reader compressed)
{
    const auto bytes = compressed.getBytes().asChars();
    std::optional<std::string> out;
    if (compressed.getSize() <= max_hub_message_bytes)
    {
        out = core::decompress({bytes.begin(), bytes.size()}, compressed.getSize());
    }
    KJ_REQUIRE(out.has_value(), "malformed compressed hub message");
    return std::move(*out);
}

/// Reads a message that is not compressed itself, or throws kj::Exception.
hub_message read_packed(std::string_view bytes, std::string* decompressed)
{
    kj::ArrayInputStream stream(
        kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::PackedMessageReader reader(
        stream, {.traversalLimitInWords = max_traversal_words, .nestingLimit = max_nesting});
    const auto message = reader.getRoot<wire::HubMessage>();
    if (message.isCompressed() && decompressed != nullptr)
    {
        *decompressed = read_compressed(message.getCompressed());
        return read_packed(*decompressed, nullptr);
    }
    return read_message(message);
}

} // namespace

std::string encode(const hub_message& message)
{
    capnp::MallocMessageBuilder builder(128);
    std::visit(message_writer{builder.initRoot<wire::HubMessage>()}, message);
    return write_packed(builder);
}

std::string encode_frame(const hub_message& message, compression mode)
{
    std::string body = encode(message);
    if (mode == compression::allowed && body.size() >= min_compressed_bytes)
    {
        body = encode_compressed(body);
    }
    std::string frame(frame_length_bytes, '\0');
    boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(frame.data()),
                                 static_cast<std::uint32_t>(body.size()));
    return frame + body;
}

core::result<hub_message> decode_hub_message(std::string_view bytes)
{
    try
    {
        std::string decompressed;
        return read_packed(bytes, &decompressed);
    }
    catch (const kj::Exception&)
    {
        return boost::leaf::new_error(
            core::peer_message_error{core::peer_message_error::reason::malformed, bytes.size()});
    }
}

} // namespace zinniaferry::fleet
