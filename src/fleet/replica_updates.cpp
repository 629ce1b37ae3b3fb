#include "fleet/replica_updates.hpp"

#include <algorithm>

namespace zinniaferry::fleet
{

subscriber_position position_from(const hello_message& hello, const replica& hub)
{
    const bool is_up_to_date =
        hello.revision != 0 && hello.era == hub.era && hello.revision == hub.revision;
    return {.sent_sequence = is_up_to_date ? hub.sequence : 0,
            .era = hello.era,
            .known_revision = hello.revision,
            .compression = hello.accepts_compressed ? compression::allowed : compression::off};
}

bool is_behind(const subscriber_position& position, const replica& hub)
{
    return position.sent_sequence == 0 || position.sent_sequence != hub.sequence;
}

update_message make_update(const replica& hub, const subscriber_position& position,
                           core::time_point now)
{
    // Revisions of another era say nothing about what the subscriber knows.
    const bool is_comparable = position.era == hub.era;
    auto changes = position.sent_sequence != 0 && is_comparable
                       ? changes_after(hub, position.sent_sequence)
                       : std::nullopt;
    update_message out;
    out.era = hub.era;
    out.revision = hub.revision;
    out.age = now - hub.current_as_of;
    out.complete = !changes.has_value();
    out.changes = changes ? std::move(*changes)
                          : make_snapshot(hub, is_comparable ? position.known_revision : 0);
    return out;
}

void on_update_sent(subscriber_position& position, const replica& hub)
{
    position.sent_sequence = hub.sequence;
    position.era = hub.era;
    position.known_revision = hub.revision;
}

std::vector<entry_change> apply_update(replica& replica, const update_message& update,
                                       core::time_point current_as_of, core::time_point now)
{
    std::vector<entry_change> changes =
        update.complete
            ? apply_snapshot(replica, update.changes, update.revision, {}, now, update.era)
            : apply_changes(replica, update.changes, update.revision, update.era);
    if (is_same_era(replica.era, update.era))
    {
        replica.current_as_of = std::max(replica.current_as_of, current_as_of);
    }
    return changes;
}

} // namespace zinniaferry::fleet
