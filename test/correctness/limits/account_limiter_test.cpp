#include "limits/virtual_fleet.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>

namespace zinniaferry::limits
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start{1000s};
constexpr core::time_point ready = start + 5s;

config::configuration with_account(double rate, double burst, std::uint32_t max_vms = 2)
{
    config::configuration config{.version = 1, .max_vms = max_vms, .pool_groups = 1};
    config.accounts = {{.name = "a", .rate = rate, .burst = burst}};
    return config;
}

/// Two limiters; the second holds the pool and messages are handed over by the test.
struct pair_of_limiters
{
    core::process_id borrower_id{.vm = "b", .incarnation = 1};
    core::process_id lender_id{.vm = "l", .incarnation = 2};
    account_limiter borrower;
    account_limiter lender;
    core::random_generator random{7};
    peer_hints borrower_hints{.alive = {"l"}, .holders = {"l"}};

    explicit pair_of_limiters(const config::configuration& config)
        : borrower(make_account_limiter(borrower_id, {}, start)),
          lender(make_account_limiter(lender_id, {}, start))
    {
        apply_configuration(borrower, config, start);
        apply_configuration(lender, config, start);
        set_pool(lender, 0, ready + 60s, start);
        flush(lender, start, random);
        tick(borrower, borrower_hints, ready, random);
    }

    admission ask(std::uint64_t id, core::time_point now)
    {
        return try_admit(borrower, "a", id, now + 1s, now);
    }

    std::vector<fleet::outgoing> to_lender(const std::vector<fleet::outgoing>& messages,
                                           core::time_point now)
    {
        std::vector<fleet::outgoing> answers;
        for (const fleet::outgoing& message : messages)
        {
            for (fleet::outgoing& answer : handle(lender, borrower_id, message.body, now))
            {
                answers.push_back(std::move(answer));
            }
        }
        return answers;
    }
};

// Guards against small bursts that fractions never add up for, and a wait without an end.
TEST(account_limiter, fetches_the_only_token_of_a_burst_of_one)
{
    pair_of_limiters two(with_account(0.5, 1));
    ASSERT_EQ(two.ask(1, ready).result, verdict::wait);
    const auto answers = two.to_lender(flush(two.borrower, ready, two.random), ready + 1ms);
    ASSERT_EQ(answers.size(), 1U);
    handle(two.borrower, two.lender_id, answers[0].body, ready + 2ms);
    const auto ends = resolve_waiting(two.borrower, ready + 2ms);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].request_id, 1U);
    EXPECT_EQ(ends[0].outcome.result, verdict::admitted);
}

// Guards against a repeated reply that is credited again.
TEST(account_limiter, credits_a_repeated_reply_once)
{
    pair_of_limiters two(with_account(1, 3));
    ASSERT_EQ(two.ask(1, ready).result, verdict::wait);
    const auto answers = two.to_lender(flush(two.borrower, ready, two.random), ready);
    handle(two.borrower, two.lender_id, answers[0].body, ready + 1ms);
    EXPECT_EQ(resolve_waiting(two.borrower, ready + 1ms).size(), 1U);
    ASSERT_EQ(two.ask(2, ready + 2ms).result, verdict::wait);
    handle(two.borrower, two.lender_id, answers[0].body, ready + 3ms);
    EXPECT_TRUE(resolve_waiting(two.borrower, ready + 3ms).empty());
}

// Guards against an answer to a repeated request, which would lend twice.
TEST(account_limiter, ignores_a_repeated_request)
{
    pair_of_limiters two(with_account(1, 3));
    two.ask(1, ready);
    const auto requests = flush(two.borrower, ready, two.random);
    EXPECT_EQ(two.to_lender(requests, ready).size(), 1U);
    EXPECT_TRUE(two.to_lender(requests, ready + 1ms).empty());
}

// Guards against a request that waits beyond the hold limit, and a refusal without a retry time.
TEST(account_limiter, refuses_after_the_hold_limit_with_a_retry_time)
{
    pair_of_limiters two(with_account(0.5, 1));
    ASSERT_EQ(two.ask(1, ready).result, verdict::wait);
    EXPECT_TRUE(resolve_waiting(two.borrower, ready + 19ms).empty());
    const auto ends = resolve_waiting(two.borrower, ready + 20ms);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].outcome.result, verdict::refused);
    EXPECT_GT(ends[0].outcome.retry_after, 0ns);
}

// Guards against a queue without a bound when the holder does not answer.
TEST(account_limiter, bounds_the_waiting_requests)
{
    pair_of_limiters two(with_account(0.5, 1));
    for (std::uint64_t id = 1; id <= 64; ++id)
    {
        ASSERT_EQ(two.ask(id, ready).result, verdict::wait);
    }
    EXPECT_EQ(two.ask(65, ready).result, verdict::refused);
    cancel_waiting(two.borrower, "a", 3);
    EXPECT_EQ(two.ask(66, ready).result, verdict::wait);
}

// Guards against more than one batch to a peer in 20 ms.
TEST(account_limiter, sends_at_most_one_batch_per_interval)
{
    pair_of_limiters two(with_account(1, 3));
    two.ask(1, ready);
    const auto answers = two.to_lender(flush(two.borrower, ready, two.random), ready);
    handle(two.borrower, two.lender_id, answers[0].body, ready + 1ms);
    resolve_waiting(two.borrower, ready + 1ms);
    two.ask(2, ready + 2ms);
    EXPECT_TRUE(flush(two.borrower, ready + 19ms, two.random).empty());
    EXPECT_FALSE(flush(two.borrower, ready + 20ms, two.random).empty());
}

// Guards against steady traffic that is refused at each end of a loan's term.
TEST(account_limiter, renews_a_rate_before_its_term_ends)
{
    pair_of_limiters two(with_account(100, 100));
    std::uint64_t refused = 0;
    for (core::time_point now = ready; now < ready + 30s; now += 10ms)
    {
        // 50 requests a second, two thirds of what seat and pool can give.
        const bool arrives = (now - ready) % 20ms == 0ns;
        refused += arrives && two.ask(1, now).result == verdict::refused ? 1 : 0;
        const auto answers =
            two.to_lender(tick(two.borrower, two.borrower_hints, now, two.random), now);
        for (const fleet::outgoing& answer : answers)
        {
            handle(two.borrower, two.lender_id, answer.body, now);
        }
        for (const resolution& end : resolve_waiting(two.borrower, now))
        {
            refused += end.outcome.result == verdict::refused ? 1 : 0;
        }
    }
    EXPECT_EQ(refused, 0U);
}

// Guards against traffic of messages when the own seat suffices.
TEST(account_limiter, asks_nobody_when_its_seat_suffices)
{
    pair_of_limiters two(with_account(100, 100));
    // Seats start empty.
    for (core::time_point now = ready + 1s; now < ready + 20s; now += 100ms)
    {
        EXPECT_EQ(two.ask(1, now).result, verdict::admitted);
        EXPECT_TRUE(tick(two.borrower, two.borrower_hints, now, two.random).empty());
    }
}

// Guards against a seat used at once after a restart, while the former process's loan still runs.
TEST(account_limiter, leaves_its_seat_unused_for_a_loan_term_after_the_start)
{
    account_limiter state = make_account_limiter({.vm = "b"}, {}, start);
    apply_configuration(state, with_account(1000, 1000), start);
    EXPECT_EQ(try_admit(state, "a", 1, start + 5s, start + 4s).result, verdict::refused);
    core::random_generator random(1);
    flush(state, start + 4100ms, random);
    EXPECT_EQ(try_admit(state, "a", 1, start + 5s, start + 4200ms).result, verdict::admitted);
}

// Guards against a process that wakes late and spends a pool whose lease has ended.
TEST(account_limiter, spends_nothing_of_a_pool_after_its_lease)
{
    account_limiter state = make_account_limiter({.vm = "b"}, {}, start);
    apply_configuration(state, with_account(10, 3), start);
    set_pool(state, 0, start + 10s, start);
    EXPECT_EQ(try_admit(state, "a", 1, start + 20s, start + 9s).result, verdict::admitted);
    EXPECT_EQ(try_admit(state, "a", 2, start + 20s, start + 10s).result, verdict::refused);
    set_pool(state, 0, start + 30s, start + 11s);
    EXPECT_EQ(try_admit(state, "a", 3, start + 20s, start + 11s).result, verdict::refused);
}

// Guards against tokens kept over a lapse in which another process may have held the pool.
TEST(account_limiter, empties_a_pool_whose_lease_lapsed_unnoticed)
{
    account_limiter state = make_account_limiter({.vm = "b"}, {}, start);
    apply_configuration(state, with_account(0.1, 3), start);
    set_pool(state, 0, start + 60s, start);
    ASSERT_EQ(try_admit(state, "a", 1, start + 90s, start + 40s).result, verdict::admitted);
    set_pool(state, 0, start + 90s, start + 61s);
    EXPECT_EQ(try_admit(state, "a", 2, start + 90s, start + 61s).result, verdict::refused);
}

/// Carries out one tick with an immediate network and adds the loan requests sent to `asked`.
std::uint64_t admitted_in_tick(pair_of_limiters& two, core::time_point now, std::uint64_t& asked)
{
    const auto requests = tick(two.borrower, two.borrower_hints, now, two.random);
    asked += requests.size();
    for (const fleet::outgoing& answer : two.to_lender(requests, now))
    {
        handle(two.borrower, two.lender_id, answer.body, now);
    }
    const auto ends = resolve_waiting(two.borrower, now);
    return static_cast<std::uint64_t>(std::count_if(
        ends.begin(), ends.end(),
        [](const resolution& end) { return end.outcome.result == verdict::admitted; }));
}

// Guards against whole tokens that are borrowed while the fractions of the seat overflow.
TEST(account_limiter, borrows_only_what_the_seat_lacks)
{
    config::configuration config = with_account(1, 8);
    config.accounts[0].seat_fraction = 0.2;
    pair_of_limiters two(config);
    // The seat is full at 0.8 tokens, 8 s after it came into use.
    const core::time_point now = ready + 20s;
    tick(two.borrower, two.borrower_hints, now, two.random);
    ASSERT_EQ(two.ask(1, now).result, verdict::wait);
    const auto requests = flush(two.borrower, now, two.random);
    ASSERT_EQ(requests.size(), 1U);
    const auto* request = std::get_if<fleet::loan_request>(&requests[0].body);
    ASSERT_NE(request, nullptr);
    EXPECT_NEAR(request->wants.at(0).tokens, 0.2, 0.002);
    const auto answers = two.to_lender(requests, now);
    ASSERT_EQ(answers.size(), 1U);
    handle(two.borrower, two.lender_id, answers[0].body, now);
    const auto ends = resolve_waiting(two.borrower, now);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].outcome.result, verdict::admitted);
}

// Guards against an exchange for each request of an account with a few requests a second.
TEST(account_limiter, borrows_tokens_for_the_next_requests)
{
    pair_of_limiters two(with_account(10, 20, 20));
    std::uint64_t asked = 0;
    std::uint64_t arrived = 0;
    std::uint64_t admitted = 0;
    for (core::time_point now = ready; now < ready + 60s; now += 10ms)
    {
        if ((now - ready) % 250ms == 0ns)
        {
            ++arrived;
            admitted += two.ask(arrived, now).result == verdict::admitted ? 1 : 0;
        }
        admitted += admitted_in_tick(two, now, asked);
    }
    EXPECT_EQ(admitted, arrived);
    EXPECT_LT(asked, arrived / 2);
}

// Guards against messages for requests that are refused anyway, and capacity left unused.
TEST(account_limiter, asks_seldom_for_an_account_above_its_rate)
{
    pair_of_limiters two(with_account(50, 50));
    std::uint64_t asked = 0;
    std::uint64_t admitted = 0;
    std::uint64_t id = 0;
    for (core::time_point now = ready; now < ready + 60s; now += 10ms)
    {
        // Four times the rate.
        for (int i = 0; i < 2; ++i)
        {
            admitted += two.ask(++id, now).result == verdict::admitted ? 1 : 0;
        }
        admitted += admitted_in_tick(two, now, asked);
    }
    // The seat of the lender, a tenth of the rate, is not used here.
    EXPECT_GT(admitted, 60U * 50 * 8 / 10);
    // Two a second; at the start the loans grow with the demand.
    EXPECT_LT(asked, 60U * 2);
}

// Guards against messages for each refused request when all processes ask the holder for a rate
// that is used up.
TEST(account_limiter, fleet_asks_seldom_for_an_account_above_its_rate)
{
    constexpr std::size_t processes = 6;
    virtual_fleet fleet = make_virtual_fleet(processes, {}, {}, with_account(200, 200, 6), 20261);
    std::uint64_t admitted = 0;
    fleet.on_end = [&](const request_end& end)
    {
        admitted += end.admitted && end.at >= core::time_point(40s) ? 1 : 0;
    };
    std::uint64_t id = 0;
    for (core::time_point at{20s}; at < core::time_point(100s); at += 1ms)
    {
        arrive(fleet, fleet.random() % processes, "a", ++id, at);
    }
    const auto bytes_sent = [&]
    {
        return std::accumulate(fleet.processes.begin(), fleet.processes.end(), std::uint64_t{0},
                               [](std::uint64_t sum, const virtual_process& process)
                               { return sum + process.bytes_sent; });
    };
    run_until(fleet, core::time_point(40s));
    const std::uint64_t before = bytes_sent();
    run_until(fleet, core::time_point(100s));
    EXPECT_GT(admitted, 60U * 200 * 9 / 10);
    // The budget of 2,048 B/s, divided by the 8 accounts of a deployment.
    EXPECT_LT(bytes_sent() - before, 60U * processes * 2048 / 8);
}

// Guards against a lease that is given up while loans from its pool are in use.
TEST(account_limiter, tells_until_when_a_pool_is_lent)
{
    pair_of_limiters two(with_account(1, 3));
    two.ask(1, ready);
    two.to_lender(flush(two.borrower, ready, two.random), ready);
    EXPECT_GT(pool_busy_until(two.lender, 0, ready), ready);
    two.to_lender(shut_down(two.borrower, ready + 1ms), ready + 1ms);
    EXPECT_LE(pool_busy_until(two.lender, 0, ready + 1ms), ready + 1ms);
}

} // namespace
} // namespace zinniaferry::limits
