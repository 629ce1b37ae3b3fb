/// How a configuration version reaches every process: who asks the service, who asks which peer,
/// what is accepted, and when a booting process is ready.
#pragma once

#include "config/model.hpp"
#include "core/error.hpp"
#include "core/random.hpp"
#include "fleet/messages.hpp"

#include <boost/json/object.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace zinniaferry::fleet
{

/// A document that passed the checks. Digests are taken of the canonical text, so that a delta
/// between two canonical texts leads to the same digest as the service's own text.
struct checked_document
{
    std::shared_ptr<const config::configuration> configuration;
    std::string text; ///< Canonical text.
};

struct config_spread_options
{
    core::process_id self;
    /// Checks a document as a whole. Error: document_error. The function must not throw.
    std::function<core::result<checked_document>(std::string_view text)> check;
    /// Returns a delta that leads from one canonical text to another.
    std::function<core::result<std::string>(std::string_view base, std::string_view target)>
        make_delta;
    /// Returns the canonical text that a delta leads to.
    std::function<core::result<std::string>(std::string_view base, std::string_view delta)>
        apply_delta;
    std::size_t watchers = 5;
    core::duration watch_wait = std::chrono::seconds(1); ///< A watch waits this long at most.
    core::duration poll_interval = std::chrono::seconds(60);
    core::duration eager_interval = std::chrono::seconds(1);
    core::duration contact_limit = std::chrono::seconds(3); ///< Older contact: poll eagerly.
    /// Longest pause between calls to a service that answers with lower versions. Each such
    /// answer is a whole document.
    core::duration stale_interval = std::chrono::seconds(4);
    core::duration call_timeout = std::chrono::seconds(3); ///< Without an answer, a call failed.
    core::duration boot_window = std::chrono::seconds(3);
    core::duration pull_timeout = std::chrono::milliseconds(500);
    /// A process that lacks a version it has heard of for longer counts as cut off: it hears its
    /// peers, but what it sends does not reach them.
    core::duration behind_limit = std::chrono::seconds(2);
    core::duration refusal_memory = std::chrono::seconds(60); ///< No new pull of a refused version.
    std::size_t history_versions = 64;
    std::size_t history_bytes = std::size_t{8} << 20U;
    std::size_t max_document = std::size_t{1} << 20U; ///< Bytes.
};

enum class config_source
{
    service,
    peer
};

enum class offer_outcome
{
    accepted,
    unchanged, ///< The same version and digest are in force.
    refused
};

enum class refusal_reason
{
    none,
    older,        ///< Lower than the version in force.
    conflict,     ///< The version in force with another digest.
    invalid,      ///< The check found an error.
    too_large,    ///< More than `max_document` bytes.
    wrong_digest, ///< The text is not the one that the sender named.
    no_base,      ///< A delta against a version that this process does not have.
    wrong_version ///< The text states another version than the message.
};

struct offer_result
{
    offer_outcome outcome = offer_outcome::refused;
    refusal_reason reason = refusal_reason::none;
};

/// A version that is or was in force.
struct config_version
{
    std::uint64_t version = 0;
    core::digest digest{};
    std::string text;
    std::shared_ptr<const config::configuration> configuration;
    core::time_point accepted_at{};
};

/// A refused document, kept for the state dump.
struct config_refusal
{
    std::uint64_t version = 0;
    core::digest digest{};
    refusal_reason reason = refusal_reason::none;
    std::string from;   ///< "service" or the name of a VM.
    std::string detail; ///< The check's message, if any.
    core::time_point at{};
};

enum class service_call_kind
{
    watch,
    poll
};

/// A call to the configuration service that the driver makes now.
struct service_call
{
    service_call_kind kind = service_call_kind::poll;
    std::uint64_t after_version = 0; ///< The version in force.
    core::duration wait{};           ///< Zero for a poll.
};

struct config_counters
{
    std::uint64_t service_calls = 0;
    std::uint64_t service_failures = 0;
    std::uint64_t requests_sent = 0;
    std::uint64_t whole_sent = 0;
    std::uint64_t deltas_sent = 0;
    std::uint64_t bytes_sent = 0;     ///< Bodies of replies, deltas and whole documents.
    std::uint64_t bytes_received = 0; ///< Bodies from peers.
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
};

/// What a peer stated last about its version.
struct peer_version
{
    std::uint64_t version = 0;
    core::digest digest{};
    core::time_point heard{};
};

struct config_pull
{
    std::string vm;
    std::uint64_t version = 0;
    core::time_point sent{};
};

/// State of the module; owned by one thread.
struct config_spread
{
    config_spread_options options;
    std::optional<config_version> current;
    std::deque<config_version> history; ///< Older versions, newest last; base of deltas.
    std::map<std::uint64_t, std::string> delta_cache; ///< To the current version, by base.
    std::map<std::string, peer_version> peers;
    std::deque<config_refusal> refusals; ///< The newest last.
    std::optional<config_pull> pull;
    std::string failed_peer;                      ///< Did not answer the last pull.
    std::optional<core::time_point> behind_since; ///< A peer has a higher version; not refused.
    bool pull_whole = false;                      ///< A delta failed; ask for the whole document.

    bool ready = false;
    bool list_known = false;
    bool service_answered = false;
    std::set<std::string> awaited; ///< Listed peers that have not answered since the boot.
    bool peer_answered = false;
    std::uint64_t highest_heard = 0;
    core::time_point boot_reference{}; ///< Start of the boot window.
    bool boot_reference_known = false;

    bool call_open = false;
    core::time_point call_sent{};
    core::time_point next_call{}; ///< No call before.
    core::time_point next_poll{}; ///< Of a process that does not watch.
    core::duration call_pause{};  ///< Drawn for this call; applies if it fails or polls eagerly.
    bool call_watches = false;
    std::uint32_t stale_answers = 0; ///< In a row.
    config_counters counters;
};

/// Builds the state of a booting process. Precondition: the three functions are set. Thread safe.
config_spread make_config_spread(config_spread_options options, core::time_point now);

/// Tells a booting process whom the published list names (without itself): their answers are
/// awaited. Later calls have no effect. Not thread safe, as all functions below that change state.
void apply_boot_list(config_spread& state, const std::vector<std::string>& vms,
                     core::time_point now);

/// Offers a document of the service. Checks it as a whole; a refusal leaves the version in force.
offer_result offer(config_spread& state, std::string_view document, config_source source,
                   core::time_point now);

/// Returns the version in force, or nullptr before the first. The pointer is valid until the next
/// call that changes the state; `configuration` may be kept.
const config_version* in_force(const config_spread& state);

/// Tells whether the boot rule is met: the highest version heard is in force, and the service and
/// all listed peers answered or `boot_window` has passed with at least one answer. Stays true.
bool is_ready(const config_spread& state, core::time_point now);

/// Tells whether a peer has stated a version above the one in force for longer than
/// `behind_limit`, and it was not refused. A key may have been withdrawn with it.
bool is_behind(const config_spread& state, core::time_point now);

/// Tells whether this process is among the `watchers` of the alive members. `alive_vms` is without
/// the own VM.
bool wants_watch(const config_spread& state, const std::vector<std::string>& alive_vms);

/// Returns the call to the service that is due, at most one at a time. The driver reports its end
/// by one of the three functions below.
std::optional<service_call> next_service_call(config_spread& state,
                                              const std::vector<std::string>& alive_vms,
                                              core::duration service_age, core::time_point now,
                                              core::random_generator& random);

/// The service answered with a document. The result is that of `offer`. When the reason is
/// `older` the answer is stale, and the driver must not note it as contact with the service.
offer_result service_replied(config_spread& state, std::string_view document, core::time_point now);

/// The service answered that the version in force is its newest.
void service_unchanged(config_spread& state, core::time_point now);

/// The call failed or timed out.
void service_failed(config_spread& state, core::time_point now);

/// Takes what a peer states; the next `tick` pulls a newer version.
std::vector<outgoing> handle(config_spread& state, const core::process_id& from,
                             const heartbeat& message, core::time_point now);

/// Answers with a delta where the asker's version is in the history, else with the whole document.
std::vector<outgoing> handle(config_spread& state, const core::process_id& from,
                             const config_request& message, core::time_point now);

/// Offers a peer's document.
std::vector<outgoing> handle(config_spread& state, const core::process_id& from,
                             const config_reply& message, core::time_point now);

/// Returns the pull that is due. Call every 10 ms.
std::vector<outgoing> tick(config_spread& state, core::time_point now,
                           core::random_generator& random);

const char* to_string(refusal_reason reason);

boost::json::object dump(const config_spread& state, core::time_point now);

} // namespace zinniaferry::fleet
