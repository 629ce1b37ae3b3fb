#include "explain/printer.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>

namespace zinniaferry::explain
{
namespace
{

using testing::HasSubstr;

// Returns a line as event_log writes it; `fields` is the inside of a JSON object.
std::string event(double time, const std::string& vm, const std::string& part,
                  const std::string& kind, const std::string& fields)
{
    boost::json::object line = {
        {"time", 1.78e9 + time}, {"vm", vm}, {"part", part}, {"kind", kind}};
    const boost::json::value parsed = boost::json::parse("{" + fields + "}");
    for (const auto& [name, value] : parsed.as_object())
    {
        line[name] = value;
    }
    return boost::json::serialize(line);
}

std::string request(double time, const std::string& vm, const std::string& outcome,
                    const std::string& fields)
{
    const std::string kind = outcome == "answered" ? "answered" : "not_answered";
    return event(time, vm, "requests", kind,
                 R"("request":"r-1","outcome":")" + outcome + R"(","version":7,"account":"a",)" +
                     R"("service":"orders",)" + fields);
}

std::string attempt(const std::string& server, const std::string& end, double sent_ms, double ms,
                    const std::string& reading = "")
{
    return R"({"server":")" + server + R"(","end":")" + end + R"(","sent_ms":)" +
           std::to_string(sent_ms) + R"(,"ms":)" + std::to_string(ms) +
           R"(,"status":0,"candidates":2)" + reading + "}";
}

std::string failed_request(const std::string& outcome, const std::string& attempts)
{
    return request(10, "vm-1", outcome, R"("status":504,"ms":1000,"attempts":[)" + attempts + "]");
}

log_lines read(const std::vector<std::string>& lines)
{
    log_lines out;
    for (const std::string& line : lines)
    {
        read_log(line + "\n", "r-1", out);
    }
    sort_lines(out);
    return out;
}

// Returns the cause of the only line of request r-1.
cause cause_of(const std::vector<std::string>& lines)
{
    const log_lines log = read(lines);
    const std::vector<request_facts> facts = join_request(log, "r-1");
    return facts.size() == 1 ? find_cause(facts.front())
                             : cause{.name = std::to_string(facts.size()) + " requests"};
}

// Guards against an account that blames the account's rate when a VM had lost its hubs, or when the
// hub did not answer.
TEST(explain, a_request_over_its_rate_names_who_decided)
{
    const auto refused = [](const std::string& decided_by)
    {
        return request(10, "vm-1", "over_limit",
                       R"("status":429,"ms":1,"attempts":[],"rate_decided_by":")" + decided_by +
                           "\"");
    };
    const auto hub = [](double time, const std::string& vm, const std::string& address)
    {
        return event(time, vm, "peers", "hub_chosen", R"("address":")" + address + "\"");
    };
    const cause empty = cause_of({hub(5, "vm-1", "10.0.0.1:1"), refused("hub")});
    EXPECT_EQ(empty.name, "rate_pool_empty");
    EXPECT_THAT(empty.text, HasSubstr("pool of account a was empty"));
    const cause alone =
        cause_of({hub(5, "vm-1", "10.0.0.1:1"), hub(9, "vm-1", "none"), refused("standalone")});
    EXPECT_EQ(alone.name, "rate_without_hub");
    EXPECT_THAT(alone.text, HasSubstr("vm-1 had no hub (since 999.0 ms before the request)"));
    EXPECT_EQ(cause_of({hub(9, "vm-2", "none"), refused("standalone")}).name, "rate_hub_silent")
        << "another VM's hub";
    EXPECT_EQ(
        cause_of({hub(8, "vm-1", "none"), hub(9, "vm-1", "10.0.0.2:1"), refused("standalone")})
            .name,
        "rate_hub_silent")
        << "a hub was chosen again";
    const std::string restarted = event(9, "vm-1", "daemon", "started", "");
    EXPECT_EQ(cause_of({hub(8, "vm-1", "none"), restarted, refused("standalone")}).name,
              "rate_hub_silent")
        << "of the VM's earlier process";
}

// Guards against an account that takes a leaving server for a failed one or a slow one for either,
// also when only another VM has the line, or it comes after the request.
TEST(explain, a_request_lost_at_a_server_names_the_state_of_the_server)
{
    const std::string lost = failed_request("server_lost", attempt("s-1", "broken", 5, 990));
    const auto server =
        [](double time, const std::string& vm, const std::string& kind, const std::string& fields)
    {
        return event(time, vm, "servers", kind, R"("server":"s-1","service":"orders")" + fields);
    };
    const std::string draining = server(8.9, "vm-2", "listed", R"(,"draining":true)");
    const cause left =
        cause_of({draining, lost, server(10.5, "vm-1", "unusable", R"(,"why":"broken")")});
    EXPECT_EQ(left.name, "server_leaving");
    EXPECT_THAT(left.text, HasSubstr("s-1 was leaving (draining at vm-2 100.0 ms before"));
    EXPECT_EQ(cause_of({lost, server(12, "vm-1", "removed", "")}).name, "server_leaving");
    EXPECT_EQ(cause_of({lost, server(14, "vm-1", "removed", "")}).name, "server_failed")
        << "too late to concern the request";
    EXPECT_EQ(
        cause_of({draining, server(8.95, "vm-2", "listed", R"(,"draining":false)"), lost}).name,
        "server_failed")
        << "listed again before the attempt";
    const cause failed = cause_of({server(9.5, "vm-3", "unusable", R"(,"why":"unreachable")"), lost,
                                   server(11, "vm-1", "removed", "")});
    EXPECT_EQ(failed.name, "server_failed");
    EXPECT_THAT(failed.text, HasSubstr("s-1 had failed (unreachable at vm-3 500.0 ms after"));
    const std::string slow = R"(,"running":2,"waiting":1,"slots":2,"slowdown":3,)"
                             R"("reading_age_ms":0.1)";
    const std::string idle = R"(,"running":0,"waiting":0,"slots":2,"slowdown":1,)"
                             R"("reading_age_ms":0.1)";
    const std::string hedge = "," + attempt("s-2", "open", 700, 300, idle);
    const cause late =
        cause_of({failed_request("deadline", attempt("s-1", "open", 5, 995, slow) + hedge)});
    EXPECT_EQ(late.name, "server_slow");
    EXPECT_THAT(late.text, HasSubstr("1 waiting, 2 slots, slowdown 3"));
    EXPECT_EQ(cause_of({failed_request("deadline", attempt("s-1", "open", 5, 995, idle))}).name,
              "server_no_response");
    EXPECT_EQ(cause_of({failed_request("no_server", attempt("s-1", "wrong_server", 5, 1))}).name,
              "wrong_server");
    EXPECT_EQ(cause_of({failed_request("deadline", "")}).name, "deadline");
    EXPECT_EQ(cause_of({failed_request("unusable_answer", attempt("s-1", "malformed", 5, 1))}).name,
              "server_response_unusable");
}

// Guards against an account that reports a removed route although the daemon was behind, and
// against one that blames a hub whose updates were in time again.
TEST(explain, a_refusal_by_an_outdated_configuration_names_what_was_late)
{
    const auto refused = [](const std::string& outcome, const std::string& age)
    {
        return request(10, "vm-1", outcome,
                       R"("status":503,"ms":1,"host":"h","path":"/p","attempts":[])" + age);
    };
    const std::string old = refused("configuration_outdated", R"(,"configuration_age_ms":3400)");
    const std::string current = refused("unknown_route", R"(,"configuration_age_ms":400)");
    const std::string own = event(2, "vm-1", "configuration", "in_force", R"("version":7)");
    const std::string newer = event(8, "vm-2", "configuration", "in_force", R"("version":8)");
    const std::string hub = R"("address":"10.0.0.9:1")";
    const std::string late = event(9, "vm-1", "peers", "updates_late", hub + R"(,"delay_ms":2100)");
    const std::string in_time = event(9.5, "vm-1", "peers", "updates_in_time", hub);
    const std::string lost = event(6, "vm-2", "store", "lost", "");
    const cause behind = cause_of({own, newer, late, old});
    EXPECT_EQ(behind.name, "outdated_behind_late_hub");
    EXPECT_THAT(behind.text,
                HasSubstr("by configuration 7, known to be current 3400.0 ms earlier"));
    EXPECT_THAT(behind.text, HasSubstr("version 8 was in force at vm-2 1999.0 ms before"));
    EXPECT_THAT(behind.text, HasSubstr("hub 10.0.0.9:1 came late (2100.0 ms"));
    EXPECT_EQ(cause_of({own, newer, late, in_time, old}).name, "outdated_configuration");
    EXPECT_EQ(cause_of({own, lost, old}).name, "outdated_platform_lost");
    EXPECT_EQ(cause_of({own, lost, event(7, "vm-2", "store", "regained", ""), old}).name,
              "outdated_configuration");
    EXPECT_EQ(
        cause_of({own, event(9, "vm-1", "peers", "hub_chosen", R"("address":"none")"), old}).name,
        "outdated_without_hub");
    const auto noticed_later = [&](double time)
    {
        return event(time, "vm-1", "peers", "updates_late", hub + R"(,"delay_ms":1500)");
    };
    EXPECT_EQ(cause_of({own, noticed_later(11), old}).name, "outdated_behind_late_hub");
    EXPECT_EQ(cause_of({own, noticed_later(12), old}).name, "outdated_configuration");
    EXPECT_EQ(cause_of({own, event(11, "vm-1", "store", "lost", R"("silent_ms":4000)"), old}).name,
              "outdated_platform_lost");
    EXPECT_EQ(cause_of({own, newer, current}).name, "outdated_configuration");
    EXPECT_EQ(cause_of({own, newer, late, current}).name, "outdated_behind_late_hub");
    EXPECT_EQ(cause_of({own, late, current}).name, "unknown_route");
    EXPECT_EQ(cause_of({own, refused("unknown_key", R"(,"configuration_age_ms":400)")}).name,
              "unknown_key");
}

// Guards against outcomes without a cause, and against a server's own error shown as a success.
TEST(explain, each_other_outcome_has_its_cause)
{
    const auto ended = [](const std::string& outcome, int status)
    {
        return request(10, "vm-1", outcome,
                       R"("ms":50,"attempts":[)" + attempt("s-1", "answered", 1, 49) +
                           R"(],"status":)" + std::to_string(status));
    };
    EXPECT_EQ(cause_of({ended("answered", 200)}).name, "answered");
    EXPECT_EQ(cause_of({ended("answered", 500)}).name, "server_error");
    const std::string unusable = event(8, "vm-1", "servers", "unusable",
                                       R"("server":"s-2","service":"orders","why":"error")");
    const cause missing = cause_of({unusable, ended("no_server", 503)});
    EXPECT_EQ(missing.name, "no_server");
    EXPECT_THAT(missing.text, HasSubstr("became unavailable: 1"));
    EXPECT_EQ(
        cause_of({event(9, "vm-1", "daemon", "started", ""), ended("no_configuration", 503)}).name,
        "just_started");
    EXPECT_EQ(cause_of({ended("no_configuration", 503)}).name, "no_configuration");
    EXPECT_EQ(cause_of({ended("overloaded", 503)}).name, "overloaded");
    EXPECT_EQ(cause_of({ended("stopping", 503)}).name, "daemon_stopping");
    EXPECT_EQ(cause_of({ended("expired", 503)}).name, "expired");
    EXPECT_EQ(cause_of({ended("caller_gone", 0)}).name, "caller_gone");
    const cause gone = cause_of({request(10, "vm-1", "caller_gone", R"("ms":50,"attempts":[])")});
    EXPECT_THAT(gone.text, HasSubstr("50.0 ms after the arrival; its line names no attempt"))
        << "cancelled attempts may be missing";
    EXPECT_EQ(cause_of({ended("body_too_large", 413)}).name, "request_invalid");
    EXPECT_EQ(cause_of({ended("a_later_reason", 503)}).name, "unknown_outcome");
    EXPECT_EQ(cause_of({request(10, "vm-1", "expired", R"("status":503,"ms":8e12)")}).text,
              "the deadline passed 0.0 ms after the arrival, before the request was sent")
        << "a duration that is out of range";
}

// Guards against lines that are lost, or joined wrongly, when files are cut within a line, in
// another order, repeated, with a prefix, or with lines of other programs.
TEST(explain, cut_and_mixed_files_are_read_as_far_as_their_lines_go)
{
    const std::string chosen = event(9, "vm-1", "peers", "hub_chosen", R"("address":"none")");
    const std::string refused =
        request(10, "vm-1", "over_limit", R"("status":429,"ms":1,"rate_decided_by":"standalone")");
    const std::string other = event(10, "vm-1", "requests", "answered", R"("request":"r-2")");
    log_lines log;
    read_log("  17.9879 front {1} " + refused + "\n\n" + other + "\r\n", "r-1", log);
    EXPECT_EQ(log.lines.size(), 1U) << "other requests are not kept";
    EXPECT_EQ(log.unread_lines, 0U);
    read_log(refused.substr(40) + "\nstarted by hand\n" + refused.substr(0, 60) + "  9.1 vm-1 " +
                 chosen + "\n" + refused.substr(0, refused.size() - 1),
             "r-1", log);
    EXPECT_EQ(log.unread_lines, 4U);
    // Invalid times and names.
    read_log(R"({"time":-1,"vm":"v","part":"p","kind":"k"})"
             "\n"
             R"({"time":1e300,"vm":"v","part":"p","kind":"k"})"
             "\n"
             R"({"time":{"time":1},"vm":"v"})"
             "\n"
             R"({"time":1,"vm":"","part":"p","kind":"k"})"
             "\n",
             "r-1", log);
    EXPECT_EQ(log.unread_lines, 8U);
    read_log(refused + chosen, "r-1", log);
    sort_lines(log);
    ASSERT_EQ(log.lines.size(), 2U) << "repeated lines count once";
    const request_account account = explain_request(log, "r-1");
    ASSERT_EQ(account.requests.size(), 1U);
    EXPECT_EQ(find_cause(account.requests.front()).name, "rate_without_hub");
}

// Guards against events that are lost wherever a file is cut.
TEST(explain, a_log_cut_at_any_byte_has_all_of_its_complete_lines)
{
    std::string text;
    for (int i = 0; i < 3; ++i)
    {
        text +=
            " 1.5 vm-1 " + event(i, "vm-1", "servers", "removed", R"("server":"{\"s\"}")") + "\n";
    }
    for (std::size_t size = 0; size <= text.size(); ++size)
    {
        log_lines log;
        read_log(std::string_view(text).substr(0, size), "r-1", log);
        const std::string_view rest = std::string_view(text).substr(size);
        const auto missing = static_cast<std::size_t>(std::count(rest.begin(), rest.end(), '}'));
        // Each line has two closing braces, of which the first is within a text.
        EXPECT_EQ(log.lines.size(), 3 - (missing + 1) / 2) << size;
        EXPECT_LE(log.unread_lines, 1U) << size;
    }
}

// Guards against evidence out of order, and against an unknown id shown as explained.
TEST(explain, text_and_json_have_the_evidence_in_order_and_tell_unknown_ids)
{
    const std::string refused =
        request(10, "vm-1", "over_limit", R"("status":429,"ms":1,"rate_decided_by":"standalone")");
    const log_lines log =
        read({refused, event(9.5, "vm-1", "peers", "hub_chosen", R"("address":"none")"),
              event(9, "vm-1", "configuration", "in_force", R"("version":7)"), "foreign",
              event(9.2, "vm-1", "peers", "hub_left", R"("address":"10.0.0.1:1")"),
              event(9.2, "vm-2", "peers", "hub_left", R"("address":"10.0.0.1:1")"),
              event(11, "vm-1", "log", "left_out", R"("of":"not_answered","lines":12)")});
    const request_account account = explain_request(log, "r-1");
    EXPECT_THAT(to_text(account),
                testing::ContainsRegex("cause: rate_without_hub: (.|\n)*\n *-999.0 vm-1 "
                                       "configuration in_force version=7\n *-799.0 vm-1 peers "
                                       "hub_left address=\"10.0.0.1:1\"\n *-499.0 vm-1 peers "
                                       "hub_chosen address=\"none\"\n *1.0 vm-1 requests "));
    EXPECT_THAT(to_text(account), HasSubstr("lines not read: 1\n"));
    const boost::json::object json = to_json(account);
    EXPECT_TRUE(json.at("found").as_bool());
    const boost::json::object& first = json.at("requests").at(0).as_object();
    EXPECT_EQ(first.at("cause").as_string(), "rate_without_hub");
    EXPECT_EQ(first.at("evidence").as_array().size(), 4U);
    EXPECT_EQ(json.at("unread_lines").to_number<int>(), 1);
    const request_account unknown = explain_request(log, "r-9");
    EXPECT_FALSE(to_json(unknown).at("found").as_bool());
    EXPECT_THAT(to_text(unknown), HasSubstr("request r-9 is not in these logs; 12 lines"));
}

} // namespace
} // namespace zinniaferry::explain
