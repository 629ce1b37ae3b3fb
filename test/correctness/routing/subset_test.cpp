#include "routing/subset.hpp"

#include "routing/candidates.hpp"

#include <gtest/gtest.h>

#include <map>

namespace zinniaferry::routing
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start{1000s};
constexpr double requests_per_daemon = 5.0; ///< Each second.

std::vector<std::string> names(const std::string& prefix, std::size_t count)
{
    std::vector<std::string> out;
    for (std::size_t i = 0; i < count; ++i)
    {
        out.push_back(prefix + std::to_string(i));
    }
    return out;
}

void add_servers(backend_set& set, const std::string& data_centre, std::size_t count)
{
    for (const std::string& id : names(data_centre + "-", count))
    {
        apply_listing(set, {.id = id, .service = "orders", .data_centre = data_centre, .slots = 3},
                      start);
    }
}

// The view of one daemon; data centres are uneven.
backend_set make_view(const std::string& own_name, std::vector<std::string> members)
{
    backend_set set;
    set.options = {.own_name = own_name, .data_centre = "a"};
    set.members = std::move(members);
    add_servers(set, "a", 90);
    add_servers(set, "b", 40);
    add_servers(set, "c", 20);
    return set;
}

void choose(backend_set& set)
{
    update_subset(set, subset_fraction({.members = set.members.size(),
                                        .own_rate = requests_per_daemon,
                                        .servers = set.by_id.size()}));
}

std::vector<std::string> chosen_ids(const backend_set& set)
{
    std::vector<std::string> out;
    for (const auto& [id, server] : set.by_id)
    {
        if (server->in_subset)
        {
            out.push_back(id);
        }
    }
    std::sort(out.begin(), out.end());
    return out;
}

std::size_t count_moved(const std::vector<std::string>& before,
                        const std::vector<std::string>& after)
{
    std::vector<std::string> moved;
    std::set_symmetric_difference(before.begin(), before.end(), after.begin(), after.end(),
                                  std::back_inserter(moved));
    return moved.size();
}

// Guards against servers that far more daemons use than others, which get more than their share of
// the requests, and against a data centre whose share is not that of its slots.
TEST(subset, each_server_is_used_by_about_as_many_daemons)
{
    const std::vector<std::string> fleet = names("vm-", 200);
    std::map<std::string, int> daemons;
    for (const std::string& own_name : fleet)
    {
        backend_set set = make_view(own_name, fleet);
        choose(set);
        EXPECT_LT(subset_size(set), set.by_id.size() / 3);
        for (const std::string& id : chosen_ids(set))
        {
            ++daemons[id];
        }
    }
    ASSERT_EQ(daemons.size(), 150U);
    int total = 0;
    int most = 0;
    for (const auto& [id, count] : daemons)
    {
        total += count;
        most = std::max(most, count);
    }
    EXPECT_LE(most, 1.3 * total / 150.0);
}

// Guards against a small fleet that spreads its requests over a part of the servers.
TEST(subset, a_small_fleet_uses_all_servers)
{
    backend_set set = make_view("vm-3", names("vm-", 19));
    choose(set);
    EXPECT_EQ(subset_size(set), 150U);
}

// Guards against connections that all become useless when one daemon or server joins or leaves.
TEST(subset, a_change_of_one_daemon_or_server_moves_few_servers)
{
    constexpr std::size_t max_moved = 6; // One at each end of the three data centres' arcs.
    const std::vector<std::string> fleet = names("vm-", 200);
    for (const std::string& own_name : names("vm-", 20))
    {
        backend_set set = make_view(own_name, fleet);
        choose(set);
        const std::vector<std::string> before = chosen_ids(set);
        set.members.emplace_back("vm-new");
        choose(set);
        const std::vector<std::string> with_daemon = chosen_ids(set);
        EXPECT_LE(count_moved(before, with_daemon), max_moved);
        remove_listing(set, "a-7");
        choose(set);
        EXPECT_LE(count_moved(with_daemon, chosen_ids(set)), max_moved);
    }
}

// Guards against a daemon without a subset when its view of the fleet is wrong or empty.
TEST(subset, a_daemon_that_knows_few_members_serves_from_all_servers)
{
    for (const std::vector<std::string>& view : {std::vector<std::string>(), names("other-", 4)})
    {
        backend_set set = make_view("vm-1", view);
        choose(set);
        EXPECT_EQ(subset_size(set), 150U);
    }
}

struct subset_selection_test : testing::Test
{
    subset_selection_test() { choose(set); }

    bool next_is_in_subset(core::time_point now)
    {
        const auto found = select_candidates(set, "orders", {}, 1, now, random);
        return found.at(0)->in_subset;
    }

    backend_set set = make_view("vm-1", names("vm-", 200));
    core::random_generator random{7};
};

// Guards against requests that wait for the servers of the subset in a burst, or after the loss of
// their data centre, while others of the service are free.
TEST_F(subset_selection_test, servers_outside_are_used_once_those_inside_are_full_or_lost)
{
    for (int i = 0; i < 50; ++i)
    {
        EXPECT_TRUE(next_is_in_subset(start));
    }
    for (const auto& [id, server] : set.by_id)
    {
        if (server->in_subset)
        {
            on_load_reading(*server, {.running = 3, .waiting = 1, .slots = 3, .received_at = start},
                            {});
        }
    }
    EXPECT_FALSE(next_is_in_subset(start + 1ms));
    set_data_centres_out_of_service(set, {"a"}, start);
    EXPECT_NE(select_candidates(set, "orders", {}, 1, start, random).at(0)->listed.data_centre,
              "a");
}

// Guards against a new connection for each request while usable ones are idle, and against servers
// that join and get no request because nobody has a connection to them.
TEST_F(subset_selection_test, servers_with_an_idle_connection_come_first_and_new_ones_are_tried)
{
    constexpr int selections = 1000;
    const core::time_point now = start + 1s;
    for (const auto& [id, server] : set.by_id)
    {
        on_load_reading(*server, {.slots = 3, .received_at = start}, {});
    }
    const std::string connected = chosen_ids(set).front();
    set.by_id.at(connected)->connected_until = now + 1s;
    int reused = 0;
    for (int i = 0; i < selections; ++i)
    {
        const auto found = select_candidates(set, "orders", {}, 1, now, random);
        reused += found.at(0)->listed.id == connected ? 1 : 0;
    }
    EXPECT_GT(reused, selections * 3 / 4);
    const backend_pointer joined = set.by_id.at(chosen_ids(set).at(1));
    joined->reading.reset();
    int tried = 0;
    for (int i = 0; i < selections; ++i)
    {
        tried += select_candidates(set, "orders", {}, 1, now, random).at(0) == joined ? 1 : 0;
    }
    EXPECT_GT(tried, selections / 4);
}

} // namespace
} // namespace zinniaferry::routing
