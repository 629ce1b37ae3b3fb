/// The sentences that explain causes to operators. Each function has the precondition that the rule
/// of that cause in causes.cpp applies to the facts, and is thread safe.
#pragma once

#include "explain/request_facts.hpp"

namespace zinniaferry::explain
{

/// Returns the configuration that refused the request, and the newer one if there was one.
std::string refusing_configuration(const request_facts& facts);

std::string explain_answer(const request_facts& facts);
std::string explain_server_error(const request_facts& facts);
std::string explain_rate_without_hub(const request_facts& facts);
std::string explain_rate_standalone(const request_facts& facts);
std::string explain_rate_of_hub(const request_facts& facts);
std::string explain_rate(const request_facts& facts);
std::string explain_late_hub(const request_facts& facts);
std::string explain_platform_lost(const request_facts& facts);
std::string explain_outdated_without_hub(const request_facts& facts);
std::string explain_unknown(const request_facts& facts);
std::string explain_start(const request_facts& facts);
std::string explain_no_configuration(const request_facts& facts);
std::string explain_wrong_server(const request_facts& facts);
std::string explain_no_server(const request_facts& facts);
std::string explain_overloaded(const request_facts& facts);
std::string explain_stopping(const request_facts& facts);
std::string explain_expired(const request_facts& facts);
std::string explain_leaving_server(const request_facts& facts);
std::string explain_failed_server(const request_facts& facts);
std::string explain_broken(const request_facts& facts);
std::string explain_unusable_answer(const request_facts& facts);
std::string explain_slow_server(const request_facts& facts);
std::string explain_no_response(const request_facts& facts);
std::string explain_deadline(const request_facts& facts);
std::string explain_caller_gone(const request_facts& facts);
std::string explain_invalid_request(const request_facts& facts);
std::string explain_unknown_outcome(const request_facts& facts);

} // namespace zinniaferry::explain
