#include "fleet/config_store.hpp"

#include <algorithm>

namespace zinniaferry::fleet
{

namespace
{

namespace leaf = boost::leaf;

constexpr std::size_t max_refusals = 16;

struct check_outcome
{
    std::optional<checked_document> document;
    std::string detail;
};

check_outcome run_check(const config_spread_options& options, std::string_view text)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<check_outcome>
        {
            BOOST_LEAF_AUTO(document, options.check(text));
            return check_outcome{std::move(document), {}};
        },
        [](const core::document_error& error) {
            return check_outcome{std::nullopt, core::to_string(error)};
        },
        [] {
            return check_outcome{std::nullopt, "the check failed without a reason"};
        });
}

std::optional<std::string> value_or_nothing(core::result<std::string> made)
{
    return leaf::try_handle_all([&]() -> leaf::result<std::optional<std::string>>
                                { return std::optional(BOOST_LEAF_CHECK(std::move(made))); },
                                [] { return std::optional<std::string>(); });
}

void put_in_force(config_spread& state, config_version version)
{
    if (state.current)
    {
        state.history.push_back(std::move(*state.current));
    }
    state.current = std::move(version);
    state.delta_cache.clear();
    state.pull_whole = false;
    ++state.counters.accepted;
    std::size_t bytes = 0;
    for (const config_version& old : state.history)
    {
        bytes += old.text.size();
    }
    while (!state.history.empty() && (state.history.size() > state.options.history_versions ||
                                      bytes > state.options.history_bytes))
    {
        bytes -= state.history.front().text.size();
        state.history.pop_front();
    }
    // Only the text is the base of a delta; a parsed configuration is several times as large.
    if (!state.history.empty())
    {
        state.history.back().configuration.reset();
    }
}

const config_version* find_version(const config_spread& state, std::uint64_t version)
{
    if (state.current && state.current->version == version)
    {
        return &*state.current;
    }
    const auto found =
        std::find_if(state.history.begin(), state.history.end(),
                     [&](const config_version& old) { return old.version == version; });
    return found == state.history.end() ? nullptr : &*found;
}

} // namespace

std::uint64_t version_in_force(const config_spread& state)
{
    return state.current ? state.current->version : 0;
}

offer_result refuse(config_spread& state, config_refusal refusal)
{
    const offer_result result{offer_outcome::refused, refusal.reason};
    ++state.counters.refused;
    // A stale service repeats itself; the dump shall still show what was refused before.
    if (!state.refusals.empty() && state.refusals.back().version == refusal.version &&
        state.refusals.back().digest == refusal.digest &&
        state.refusals.back().reason == refusal.reason &&
        state.refusals.back().detail == refusal.detail)
    {
        state.refusals.pop_back();
    }
    state.refusals.push_back(std::move(refusal));
    if (state.refusals.size() > max_refusals)
    {
        state.refusals.pop_front();
    }
    return result;
}

offer_result accept_document(config_spread& state, std::string_view text,
                             const expected_document& expected, core::time_point now)
{
    config_refusal refusal{.version = expected.version.value_or(0),
                           .digest = expected.digest.value_or(core::digest{}),
                           .from = expected.from,
                           .at = now};
    const auto refuse_for = [&](refusal_reason reason)
    {
        refusal.reason = reason;
        return refuse(state, std::move(refusal));
    };
    if (text.size() > state.options.max_document)
    {
        return refuse_for(refusal_reason::too_large);
    }
    if (expected.digest && core::sha256(text) != *expected.digest)
    {
        return refuse_for(refusal_reason::wrong_digest);
    }
    check_outcome checked = run_check(state.options, text);
    if (!checked.document || !checked.document->configuration ||
        checked.document->configuration->version == 0)
    {
        refusal.detail = checked.document ? "the document states no version" : checked.detail;
        return refuse_for(refusal_reason::invalid);
    }
    config_version version{.version = checked.document->configuration->version,
                           .digest = core::sha256(checked.document->text),
                           .text = std::move(checked.document->text),
                           .configuration = std::move(checked.document->configuration),
                           .accepted_at = now};
    refusal.version = version.version;
    refusal.digest = version.digest;
    if (expected.version && version.version != *expected.version)
    {
        return refuse_for(refusal_reason::wrong_version);
    }
    if (version.version < version_in_force(state))
    {
        return refuse_for(refusal_reason::older);
    }
    if (version.version == version_in_force(state))
    {
        return version.digest == state.current->digest
                   ? offer_result{offer_outcome::unchanged, refusal_reason::none}
                   : refuse_for(refusal_reason::conflict);
    }
    put_in_force(state, std::move(version));
    return {offer_outcome::accepted, refusal_reason::none};
}

offer_result accept_reply(config_spread& state, const std::string& from,
                          const config_reply& message, core::time_point now)
{
    const expected_document expected{from, message.version, message.digest};
    if (message.base_version == 0)
    {
        return accept_document(state, message.body, expected, now);
    }
    const config_version* base = find_version(state, message.base_version);
    std::optional<std::string> text;
    if (base != nullptr && message.body.size() <= state.options.max_document)
    {
        text = value_or_nothing(state.options.apply_delta(base->text, message.body));
    }
    if (!text)
    {
        return refuse(state, {.version = message.version,
                              .digest = message.digest,
                              .reason = refusal_reason::no_base,
                              .from = from,
                              .at = now});
    }
    return accept_document(state, *text, expected, now);
}

const std::string& delta_from(config_spread& state, std::uint64_t base)
{
    const auto cached = state.delta_cache.find(base);
    if (cached != state.delta_cache.end())
    {
        return cached->second;
    }
    std::string delta;
    const config_version* old = find_version(state, base);
    if (old != nullptr)
    {
        delta = value_or_nothing(state.options.make_delta(old->text, state.current->text))
                    .value_or(std::string());
    }
    if (delta.size() >= state.current->text.size())
    {
        delta.clear();
    }
    return state.delta_cache[base] = std::move(delta);
}

const char* to_string(refusal_reason reason)
{
    static constexpr const char* names[] = {"none",    "older",        "conflict",
                                            "invalid", "too large",    "wrong digest",
                                            "no base", "wrong version"};
    return names[static_cast<int>(reason)];
}

} // namespace zinniaferry::fleet
