#include "fleet/majority_lease.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::fleet
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start{1000s};
const core::process_id self{"vm-4", 4};
const core::process_id holder{"vm-1", 1};

majority_lease started_process()
{
    majority_lease out = make_majority_lease(self, {}, start);
    config::configuration config;
    config.max_vms = 5;
    config.pool_groups = 2;
    config.lease_term = 10s;
    apply_configuration(out, config, start);
    return out;
}

// Guards against a replaced daemon that is ready but refuses nearly all requests for the whole
// quarantine, because it does not know whom to ask for loans and permits.
TEST(lease_hint, a_process_in_quarantine_knows_the_holder_that_asked_it)
{
    majority_lease state = started_process();
    const auto answers = handle(state, holder, lease_request{1, 5, 9}, start + 1s);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_FALSE(std::get<lease_reply>(answers.front().body).granted);
    EXPECT_EQ(known_holder(state, 1, start + 2s), holder);
    EXPECT_EQ(known_holder(state, 0, start + 2s).vm, "");
}

// Guards against a hint that outlives the lease that it came from.
TEST(lease_hint, the_hint_ends_with_a_release_or_the_longest_term)
{
    majority_lease state = started_process();
    handle(state, holder, lease_request{0, 5, 9}, start + 1s);
    handle(state, holder, lease_request{1, 5, 9}, start + 1s);
    handle(state, holder, lease_release{1}, start + 2s);
    EXPECT_EQ(known_holder(state, 1, start + 2s).vm, "");
    EXPECT_EQ(known_holder(state, 0, start + 10s), holder);
    EXPECT_EQ(known_holder(state, 0, start + 1s + longest_lease_term).vm, "");
}

} // namespace
} // namespace zinniaferry::fleet
