/// Processes that claim idempotency keys over a network that loses, delays and repeats messages,
/// with pauses and restarts, in virtual time. Clocks differ in rate and wall-clock offset.
#pragma once

#include "fleet/claims.hpp"

#include <map>
#include <string>
#include <vector>

namespace zinniaferry::fleet::test
{

using namespace std::chrono_literals;

/// Faults of a voter that the check must find.
enum class voter_fault
{
    none,
    forgets,       ///< Votes without its records.
    skips_copying, ///< Votes at once after a restart.
};

struct claims_model_options
{
    std::uint64_t seed = 1;
    std::uint32_t processes = 5;
    core::duration window = 20s;
    voter_fault fault = voter_fault::none;
    bool restarts_of_all = false; ///< Now and then all restart at once.
};

struct fault_counts
{
    int lost = 0, delayed = 0, repeated = 0, pauses = 0, restarts = 0, restarts_of_all = 0;
    int replacements = 0; ///< In turn, each after the one before votes again.
    int late_wakes = 0;   ///< Claims refused because their term had ended at use.
    int claims = 0, claimed = 0, taken = 0, failed = 0, forwarded = 0, too_early = 0;
};

class claims_model
{
public:
    explicit claims_model(claims_model_options options)
        : m_options(options), m_random(options.seed), m_nodes(options.processes)
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
        {
            m_nodes[i].rate = 0.99 + 0.02 * core::uniform(m_random);
            m_nodes[i].skew = std::chrono::milliseconds(core::uniform_index(m_random, 800)) - 400ms;
            start(i);
        }
    }

    void run(core::duration length)
    {
        for (const core::time_point end = m_now + length; m_now < end; m_now += 10ms)
        {
            deliver_due();
            for (std::size_t i = 0; i < m_nodes.size(); ++i)
            {
                step(i);
            }
            inject();
        }
    }

    const fault_counts& counts() const { return m_counts; }

private:
    struct waiting_claim
    {
        std::uint64_t key = 0;
        core::time_point use_at{};
        bool claimed = false;
    };

    struct node
    {
        claims state;
        double rate = 1.0;
        core::duration skew{};
        core::time_point paused_until{};
        std::map<std::uint64_t, waiting_claim> waiting;
    };

    struct key_history
    {
        core::time_point first_sent{};
        std::optional<core::time_point> forwarded;
    };

    struct packet
    {
        std::size_t to = 0;
        message content;
    };

    static std::string name_of(std::size_t index) { return "vm" + std::to_string(index); }

    bool chance(double part) { return core::uniform(m_random) < part; }

    core::time_point local(const node& n) const
    {
        return core::time_point(
            core::from_seconds(1000.0 + core::to_seconds(m_now.time_since_epoch()) * n.rate));
    }

    core::unix_time wall(core::duration skew) const
    {
        return core::unix_time(std::chrono::duration_cast<std::chrono::milliseconds>(
            m_now.time_since_epoch() + skew + 1'000'000s));
    }

    void start(std::size_t index)
    {
        node& n = m_nodes[index];
        n.waiting.clear();
        n.state = make_claims({.self = {name_of(index), m_random()},
                               .max_vms = m_options.processes,
                               .idempotency_window = m_options.window,
                               .page_records = 2},
                              local(n), wall(n.skew));
        std::vector<std::string> peers;
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
        {
            if (i != index)
            {
                peers.push_back(name_of(i));
            }
        }
        set_peers(n.state, peers);
        if (m_options.fault == voter_fault::skips_copying)
        {
            n.state.standing = voter_standing::voter;
        }
    }

    void send(std::size_t from, std::vector<outgoing> messages)
    {
        for (outgoing& out : messages)
        {
            if (chance(0.05))
            {
                ++m_counts.lost;
                continue;
            }
            const int copies = chance(0.05) ? 2 : 1;
            m_counts.repeated += copies - 1;
            for (int i = 0; i < copies; ++i)
            {
                core::duration delay = core::from_seconds(0.001 + 0.01 * core::uniform(m_random));
                if (chance(0.05))
                {
                    ++m_counts.delayed;
                    delay = core::from_seconds(4.0 * core::uniform(m_random));
                }
                m_network.emplace(m_now + delay,
                                  packet{std::stoul(out.to_vm.substr(2)),
                                         {m_nodes[from].state.options.self, out.body}});
            }
        }
    }

    void deliver_due()
    {
        while (!m_network.empty() && m_network.begin()->first <= m_now)
        {
            const packet arrived = std::move(m_network.begin()->second);
            m_network.erase(m_network.begin());
            node& n = m_nodes[arrived.to];
            if (m_now < n.paused_until)
            {
                m_network.emplace(n.paused_until, arrived);
                continue;
            }
            if (m_options.fault == voter_fault::forgets)
            {
                n.state.records.clear();
            }
            std::visit(
                [&](const auto& body)
                {
                    if constexpr (requires { handle(n.state, arrived.content.from, body, m_now); })
                    {
                        send(arrived.to, handle(n.state, arrived.content.from, body, local(n)));
                    }
                },
                arrived.content.body);
        }
    }

    void step(std::size_t index)
    {
        node& n = m_nodes[index];
        if (m_now < n.paused_until)
        {
            return;
        }
        send(index, tick(n.state, wall(n.skew), local(n), m_random));
        for (const claim_event& event : take_events(n.state))
        {
            take_event(n, event);
        }
        for (auto entry = n.waiting.begin(); entry != n.waiting.end();)
        {
            if (entry->second.claimed && m_now >= entry->second.use_at)
            {
                use(index, entry->first, entry->second.key);
                entry = n.waiting.erase(entry);
            }
            else
            {
                ++entry;
            }
        }
    }

    void take_event(node& n, const claim_event& event)
    {
        waiting_claim& claim = n.waiting[event.claim_id];
        m_counts.claimed += event.outcome == claim_outcome::claimed ? 1 : 0;
        m_counts.taken += event.outcome == claim_outcome::taken ? 1 : 0;
        m_counts.failed += event.outcome == claim_outcome::failed ? 1 : 0;
        if (event.outcome != claim_outcome::claimed)
        {
            n.waiting.erase(event.claim_id);
            return;
        }
        claim.claimed = true;
        // Some requests wait for a server, a few of them longer than the claim's term.
        claim.use_at =
            chance(0.2) ? m_now + core::from_seconds(3.0 * core::uniform(m_random)) : m_now;
    }

    void use(std::size_t index, std::uint64_t claim_id, std::uint64_t key)
    {
        node& n = m_nodes[index];
        if (start_forwarding(n.state, claim_id, local(n)))
        {
            ++m_counts.forwarded;
            key_history& history = m_keys[key];
            if (history.forwarded && m_now - *history.forwarded < m_options.window)
            {
                ++m_counts.too_early;
            }
            history.forwarded = m_now;
        }
        else
        {
            ++m_counts.late_wakes;
        }
        send(index, end_claim(n.state, claim_id, local(n)));
    }

    void begin(std::size_t index)
    {
        node& n = m_nodes[index];
        // A key is in use for a minute, so that it is also claimed after its records expired.
        const auto minute =
            static_cast<std::uint64_t>(core::to_seconds(m_now.time_since_epoch()) / 60);
        const std::uint64_t key = 4 * minute + core::uniform_index(m_random, 4);
        const bool is_new = !m_keys.contains(key);
        key_history& history = m_keys[key];
        history.first_sent = is_new ? m_now : history.first_sent;
        const core::duration since = m_now - history.first_sent;
        const core::unix_time label = chance(0.5) ? wall(-since) : core::unix_time();
        begun_claim begun = begin_claim(n.state, "account", std::to_string(key), label,
                                        local(n) + 1500ms, local(n));
        ++m_counts.claims;
        n.waiting[begun.claim_id].key = key;
        send(index, std::move(begun.messages));
    }

    std::size_t count_starting() const
    {
        std::size_t count = 0;
        for (const node& n : m_nodes)
        {
            count += n.state.standing != voter_standing::voter ? 1 : 0;
        }
        return count;
    }

    void inject()
    {
        const std::size_t index = core::uniform_index(m_random, m_nodes.size());
        if (chance(0.06) && m_now >= m_nodes[index].paused_until)
        {
            begin(index);
            begin(core::uniform_index(m_random, m_nodes.size()));
        }
        if (chance(0.003))
        {
            ++m_counts.pauses;
            m_nodes[index].paused_until = m_now + core::from_seconds(5.0 * core::uniform(m_random));
        }
        const std::size_t minority = m_nodes.size() - majority_of(m_options.processes);
        if (chance(0.002) && count_starting() < minority)
        {
            ++m_counts.restarts;
            start(index);
        }
        if (m_options.restarts_of_all && chance(0.0002))
        {
            ++m_counts.restarts_of_all;
            for (std::size_t i = 0; i < m_nodes.size(); ++i)
            {
                start(i);
            }
        }
        if (m_now >= m_next_replacement && count_starting() == 0)
        {
            ++m_counts.replacements;
            start(m_replaced++ % m_nodes.size());
            m_next_replacement = m_now + 1s;
        }
    }

    claims_model_options m_options;
    core::random_generator m_random;
    core::time_point m_now{};
    std::vector<node> m_nodes;
    std::multimap<core::time_point, packet> m_network;
    std::map<std::uint64_t, key_history> m_keys;
    core::time_point m_next_replacement{40s};
    std::size_t m_replaced = 0;
    fault_counts m_counts;
};

} // namespace zinniaferry::fleet::test
