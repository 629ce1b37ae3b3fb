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
        : options_(options), random_(options.seed), nodes_(options.processes)
    {
        for (std::size_t i = 0; i < nodes_.size(); ++i)
        {
            nodes_[i].rate = 0.99 + 0.02 * core::uniform(random_);
            nodes_[i].skew = std::chrono::milliseconds(core::uniform_index(random_, 800)) - 400ms;
            start(i);
        }
    }

    void run(core::duration length)
    {
        for (const core::time_point end = now_ + length; now_ < end; now_ += 10ms)
        {
            deliver_due();
            for (std::size_t i = 0; i < nodes_.size(); ++i)
            {
                step(i);
            }
            inject();
        }
    }

    const fault_counts& counts() const { return counts_; }

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

    bool chance(double part) { return core::uniform(random_) < part; }

    core::time_point local(const node& n) const
    {
        return core::time_point(
            core::from_seconds(1000.0 + core::to_seconds(now_.time_since_epoch()) * n.rate));
    }

    core::unix_time wall(core::duration skew) const
    {
        return core::unix_time(std::chrono::duration_cast<std::chrono::milliseconds>(
            now_.time_since_epoch() + skew + 1'000'000s));
    }

    void start(std::size_t index)
    {
        node& n = nodes_[index];
        n.waiting.clear();
        n.state = make_claims({.self = {name_of(index), random_()},
                               .max_vms = options_.processes,
                               .idempotency_window = options_.window,
                               .page_records = 2},
                              local(n), wall(n.skew));
        std::vector<std::string> peers;
        for (std::size_t i = 0; i < nodes_.size(); ++i)
        {
            if (i != index)
            {
                peers.push_back(name_of(i));
            }
        }
        set_peers(n.state, peers);
        if (options_.fault == voter_fault::skips_copying)
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
                ++counts_.lost;
                continue;
            }
            const int copies = chance(0.05) ? 2 : 1;
            counts_.repeated += copies - 1;
            for (int i = 0; i < copies; ++i)
            {
                core::duration delay = core::from_seconds(0.001 + 0.01 * core::uniform(random_));
                if (chance(0.05))
                {
                    ++counts_.delayed;
                    delay = core::from_seconds(4.0 * core::uniform(random_));
                }
                network_.emplace(now_ + delay, packet{std::stoul(out.to_vm.substr(2)),
                                                      {nodes_[from].state.options.self, out.body}});
            }
        }
    }

    void deliver_due()
    {
        while (!network_.empty() && network_.begin()->first <= now_)
        {
            const packet arrived = std::move(network_.begin()->second);
            network_.erase(network_.begin());
            node& n = nodes_[arrived.to];
            if (now_ < n.paused_until)
            {
                network_.emplace(n.paused_until, arrived);
                continue;
            }
            if (options_.fault == voter_fault::forgets)
            {
                n.state.records.clear();
            }
            std::visit(
                [&](const auto& body)
                {
                    if constexpr (requires { handle(n.state, arrived.content.from, body, now_); })
                    {
                        send(arrived.to, handle(n.state, arrived.content.from, body, local(n)));
                    }
                },
                arrived.content.body);
        }
    }

    void step(std::size_t index)
    {
        node& n = nodes_[index];
        if (now_ < n.paused_until)
        {
            return;
        }
        send(index, tick(n.state, wall(n.skew), local(n), random_));
        for (const claim_event& event : take_events(n.state))
        {
            take_event(n, event);
        }
        for (auto entry = n.waiting.begin(); entry != n.waiting.end();)
        {
            if (entry->second.claimed && now_ >= entry->second.use_at)
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
        counts_.claimed += event.outcome == claim_outcome::claimed ? 1 : 0;
        counts_.taken += event.outcome == claim_outcome::taken ? 1 : 0;
        counts_.failed += event.outcome == claim_outcome::failed ? 1 : 0;
        if (event.outcome != claim_outcome::claimed)
        {
            n.waiting.erase(event.claim_id);
            return;
        }
        claim.claimed = true;
        // Some requests wait for a server, a few of them longer than the claim's term.
        claim.use_at = chance(0.2) ? now_ + core::from_seconds(3.0 * core::uniform(random_)) : now_;
    }

    void use(std::size_t index, std::uint64_t claim_id, std::uint64_t key)
    {
        node& n = nodes_[index];
        if (start_forwarding(n.state, claim_id, local(n)))
        {
            ++counts_.forwarded;
            key_history& history = keys_[key];
            if (history.forwarded && now_ - *history.forwarded < options_.window)
            {
                ++counts_.too_early;
            }
            history.forwarded = now_;
        }
        else
        {
            ++counts_.late_wakes;
        }
        send(index, end_claim(n.state, claim_id, local(n)));
    }

    void begin(std::size_t index)
    {
        node& n = nodes_[index];
        // A key is in use for a minute, so that it is also claimed after its records expired.
        const auto minute =
            static_cast<std::uint64_t>(core::to_seconds(now_.time_since_epoch()) / 60);
        const std::uint64_t key = 4 * minute + core::uniform_index(random_, 4);
        const bool is_new = !keys_.contains(key);
        key_history& history = keys_[key];
        history.first_sent = is_new ? now_ : history.first_sent;
        const core::duration since = now_ - history.first_sent;
        const core::unix_time label = chance(0.5) ? wall(-since) : core::unix_time();
        begun_claim begun = begin_claim(n.state, "account", std::to_string(key), label,
                                        local(n) + 1500ms, local(n));
        ++counts_.claims;
        n.waiting[begun.claim_id].key = key;
        send(index, std::move(begun.messages));
    }

    std::size_t count_starting() const
    {
        std::size_t count = 0;
        for (const node& n : nodes_)
        {
            count += n.state.standing != voter_standing::voter ? 1 : 0;
        }
        return count;
    }

    void inject()
    {
        const std::size_t index = core::uniform_index(random_, nodes_.size());
        if (chance(0.06) && now_ >= nodes_[index].paused_until)
        {
            begin(index);
            begin(core::uniform_index(random_, nodes_.size()));
        }
        if (chance(0.003))
        {
            ++counts_.pauses;
            nodes_[index].paused_until = now_ + core::from_seconds(5.0 * core::uniform(random_));
        }
        const std::size_t minority = nodes_.size() - majority_of(options_.processes);
        if (chance(0.002) && count_starting() < minority)
        {
            ++counts_.restarts;
            start(index);
        }
        if (options_.restarts_of_all && chance(0.0002))
        {
            ++counts_.restarts_of_all;
            for (std::size_t i = 0; i < nodes_.size(); ++i)
            {
                start(i);
            }
        }
        if (now_ >= next_replacement_ && count_starting() == 0)
        {
            ++counts_.replacements;
            start(replaced_++ % nodes_.size());
            next_replacement_ = now_ + 1s;
        }
    }

    claims_model_options options_;
    core::random_generator random_;
    core::time_point now_{};
    std::vector<node> nodes_;
    std::multimap<core::time_point, packet> network_;
    std::map<std::uint64_t, key_history> keys_;
    core::time_point next_replacement_{40s};
    std::size_t replaced_ = 0;
    fault_counts counts_;
};

} // namespace zinniaferry::fleet::test
