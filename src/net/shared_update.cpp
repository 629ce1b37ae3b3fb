#include "net/shared_update.hpp"

namespace zinniaferry::net
{

namespace
{

/// An update is shared for this long after it was encoded. The age of the replica that it states is
/// larger by as much, so that it holds until then.
constexpr core::duration max_sharing_time = std::chrono::milliseconds(100);

encoded_update encode(const fleet::replica& replica, const subscriber_position& position,
                      core::time_point now)
{
    fleet::update_message update = fleet::make_update(replica, position, now);
    update.age += max_sharing_time;
    return {.frame = std::make_shared<const std::string>(
                fleet::encode_frame(update, position.compression)),
            .entries = update.changes.size(),
            .is_snapshot = update.complete};
}

} // namespace

encoded_update update_for(shared_update& shared, const fleet::replica& replica,
                          const subscriber_position& position, core::time_point now)
{
    const bool is_valid = shared.update.frame && shared.position == position &&
                          shared.sequence == replica.sequence &&
                          now - shared.encoded_at < max_sharing_time;
    if (!is_valid)
    {
        shared = {.position = position,
                  .sequence = replica.sequence,
                  .encoded_at = now,
                  .update = encode(replica, position, now)};
    }
    return shared.update;
}

} // namespace zinniaferry::net
