#include "config/builder.hpp"
#include "config/json_document.hpp"
#include "config/printer.hpp"
#include "config/reader.hpp"
#include "core/random.hpp"

#include <gtest/gtest.h>

#include <limits>

namespace zinniaferry::config
{
namespace
{

constexpr const char* digest_text =
    "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

const std::string valid_configuration = std::string(R"({
"version":1,
"regions":[{"name":"r","weight":1}],
"data_centres":[{"name":"dc","region":"r","state":"in"}],
"accounts":[{"name":"a","keys":["KEY"],"rate":10,"burst":20},
{"name":"b","keys":[],"rate":10,"burst":20}],
"services":[{"name":"s","slots":2,"max_connections":250,"health_path":"/h","warmup_ms":500,"warmup_rate":2.5,"servers":[
{"name":"s1","data_centre":"dc","address":"127.0.0.1:1","leaving":false},
{"name":"s2","data_centre":"dc","address":"127.0.0.1:2"}]}],
"routes":[{"host":"h.example","prefix":"/s","service":"s","class":"order","idempotent":false,"open":true,
"attempts":2,"objective_ms":8,"timeout_ms":9},
{"prefix":"/t","split":[{"service":"s","weight":3}],"class":"lookup"}]
})");

const std::string valid_settings = R"({"vm":"v","data_centre":"dc","region":"r",
"listen":"127.0.0.1:1","admin_listen":"127.0.0.1:2","peer_listen":"127.0.0.1:3",
"platform":"127.0.0.1:4","seeds":["127.0.0.1:5"],"admin_credential":"secret-of-the-admin",
"log_format":"text","stop_grace_ms":1})";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const std::size_t at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return at == std::string::npos ? text : text.replace(at, from.size(), to);
}

std::string configuration_text()
{
    return replaced(valid_configuration, "KEY", digest_text);
}

// Calls `read` and returns its document_error. The path is "no error" when there is none and
// "untyped error" for an error of another type.
template <class Read>
core::document_error error_of(Read&& read)
{
    return boost::leaf::try_handle_all(
        [&]() -> core::result<core::document_error>
        {
            BOOST_LEAF_CHECK(read());
            return core::document_error{.path = "no error"};
        },
        [](const core::document_error& error) { return error; },
        [] { return core::document_error{.path = "untyped error"}; });
}

/// An edit that makes a valid document invalid.
struct invalid_document
{
    const char* from; ///< Text of the valid document.
    const char* to;   ///< Replaces `from`.
    const char* path; ///< JSON path that the error must have.
};

constexpr invalid_document invalid_configurations[] = {
    {"\"version\":1", "\"version\":0", "$.version"},
    {"\"version\":1", "\"version\":9007199254740992", "$.version"},
    {"\"version\":1", "\"version\":1.0", "$.version"},
    {"\"version\":1,", "", "$.version"},
    {"\"slots\":2", "\"slots\":10001", "$.services[0].slots"},
    {"\"slots\":2", "\"slots\":-1", "$.services[0].slots"},
    {"\"slots\":2", "\"slots\":\"2\"", "$.services[0].slots"},
    {"\"slots\":2", "\"slot\":2", "$.services[0].slot"},
    {"\"slots\":2", "\"slots\":2,\"slots\":3", "$.services[0].slots"},
    {"\"warmup_ms\":500", "\"warmup_ms\":600001", "$.services[0].warmup_ms"},
    {"\"warmup_rate\":2.5", "\"warmup_rate\":0", "$.services[0].warmup_rate"},
    {"\"health_path\":\"/h\"", "\"health_path\":\"h\"", "$.services[0].health_path"},
    {"\"host\":\"h.example\"", "\"host\":\"H.example\"", "$.routes[0].host"},
    {"\"host\":\"h.example\"", "\"host\":\"h.example:80\"", "$.routes[0].host"},
    {"\"attempts\":2", "\"attempts\":0", "$.routes[0].attempts"},
    {"\"attempts\":2", "\"attempts\":11", "$.routes[0].attempts"},
    {"\"objective_ms\":8", "\"objective_ms\":0", "$.routes[0].objective_ms"},
    {"\"service\":\"s\",\"weight\"", "\"service\":\"t\",\"weight\"",
     "$.routes[1].split[0].service"},
    {"\"weight\":3", "\"weight\":-3", "$.routes[1].split[0].weight"},
    {"[{\"service\":\"s\",\"weight\":3}]", "[]", "$.routes[1].split"},
    {"\"split\":", "\"service\":\"s\",\"split\":", "$.routes[1].service"},
    {"\"regions\":[", "\"regions\":[7,", "$.regions[0]"},
    {"\"weight\":1", "\"weight\":0", "$.regions[0].weight"},
    {"\"weight\":1", "\"weight\":1e400", "$.regions[0].weight"},
    {"\"name\":\"r\"", "\"name\":\"\"", "$.regions[0].name"},
    {"\"name\":\"r\"", "\"name\":\"r\\n\"", "$.regions[0].name"},
    {"\"region\":\"r\"", "\"region\":\"q\"", "$.data_centres[0].region"},
    {"\"state\":\"in\"", "\"state\":\"on\"", "$.data_centres[0].state"},
    {"\"name\":\"b\"", "\"name\":\"a\"", "$.accounts[1].name"},
    {"\"keys\":[]", "\"keys\":{}", "$.accounts[1].keys"},
    {"\"keys\":[]", "\"keys\":[1]", "$.accounts[1].keys[0]"},
    {"\"keys\":[]", "\"keys\":[\"9f86\"]", "$.accounts[1].keys[0]"},
    {"\"keys\":[]", "\"keys\":[\"1\",\"2\",\"3\"]", "$.accounts[1].keys"},
    // The digest of an existing key in upper case is a duplicate of it.
    {"\"keys\":[]",
     "\"keys\":[\"9F86D081884C7D659A2FEAA0C55AD015A3BF4F1B2B0B822CD15D6C15B0F00A08\"]",
     "$.accounts[1].keys[0]"},
    {"\"rate\":10", "\"rate\":-1", "$.accounts[0].rate"},
    {"\"rate\":10", "\"rate\":10000001", "$.accounts[0].rate"},
    {"\"rate\":10", "\"rate\":0.1234567", "$.accounts[0].rate"},
    {"\"burst\":20", "\"burst\":0.5", "$.accounts[0].burst"},
    {"\"burst\":20", "\"burst\":null", "$.accounts[0].burst"},
    {"\"slots\":2", "\"slots\":0", "$.services[0].slots"},
    {"\"max_connections\":250", "\"max_connections\":0", "$.services[0].max_connections"},
    {"\"name\":\"s2\"", "\"name\":\"s1\"", "$.services[0].servers[1].name"},
    {"\"data_centre\":\"dc\"", "\"data_centre\":\"x\"", "$.services[0].servers[0].data_centre"},
    {"127.0.0.1:2", "127.0.0.1:1", "$.services[0].servers[1].address"},
    {"127.0.0.1:2", "127.0.0.1:0", "$.services[0].servers[1].address"},
    {"127.0.0.1:2", "127.0.0.1:65536", "$.services[0].servers[1].address"},
    {"127.0.0.1:2", "127.0.0.1:02", "$.services[0].servers[1].address"},
    {"127.0.0.1:2", "localhost:2", "$.services[0].servers[1].address"},
    {"127.0.0.1:2", "::1:2", "$.services[0].servers[1].address"},
    {"\"leaving\":false", "\"leaving\":0", "$.services[0].servers[0].leaving"},
    {"\"prefix\":\"/s\"", "\"prefix\":\"s\"", "$.routes[0].prefix"},
    {"\"prefix\":\"/s\"", "\"prefix\":\"/s?\"", "$.routes[0].prefix"},
    {"\"prefix\":\"/s\"", "\"prefix\":\"/\\\"\"", "$.routes[0].prefix"},
    {"\"service\":\"s\"", "\"service\":\"t\"", "$.routes[0].service"},
    {"\"class\":\"order\"", "\"class\":\"orders\"", "$.routes[0].class"},
    {"\"class\":\"order\",", "", "$.routes[0].class"},
    {"\"open\":true", "\"open\":1", "$.routes[0].open"},
    {"\"open\":true", "\"open\":true,\"opened\":true", "$.routes[0].opened"},
    {"\"timeout_ms\":9", "\"timeout_ms\":0", "$.routes[0].timeout_ms"},
    {"\"timeout_ms\":9", "\"timeout_ms\":9,\"\\u006fpen\":false", "$.routes[0].open"},
    {"\"timeout_ms\":9},", "\"timeout_ms\":9,", "$"},
    {"\n})", "\n}}", "$"},
};

// Guards against an invalid configuration that is accepted, or whose error has the wrong path.
TEST(config_error, names_the_path_in_an_invalid_configuration)
{
    const std::string valid = configuration_text();
    EXPECT_EQ(error_of([&] { return read_configuration(valid, "f"); }).path, "no error");
    for (const invalid_document& invalid : invalid_configurations)
    {
        const std::string from = std::string(invalid.from) == "\n})" ? "\n}" : invalid.from;
        const std::string text = replaced(valid, from, invalid.to);
        const auto error = error_of([&] { return read_configuration(text, "f"); });
        EXPECT_EQ(error.path, invalid.path) << invalid.to;
        EXPECT_EQ(error.file, "f") << invalid.to;
        EXPECT_FALSE(error.value.empty() || error.expected.empty()) << invalid.to;
    }
}

constexpr invalid_document invalid_settings[] = {
    {"\"vm\":\"v\"", "\"vm\":\"v w\"", "$.vm"},
    {"\"vm\":\"v\",", "", "$.vm"},
    {"\"vm\":\"v\"", "\"vm\":\"v\",\"colour\":1", "$.colour"},
    {"127.0.0.1:1", "127.0.0.1", "$.listen"},
    {"127.0.0.1:3", "127.0.0.1:1", "$.peer_listen"},
    {"127.0.0.1:4", "127.0.0.1:0", "$.platform"},
    {"[\"127.0.0.1:5\"]", "[\"127.0.0.1:0\"]", "$.seeds"},
    {"[\"127.0.0.1:5\"]", "\"127.0.0.1:5\"", "$.seeds"},
    {"secret-of-the-admin", "secret-of-the", "$.admin_credential"},
    {"\"secret-of-the-admin\"", "[\"secret-of-the-admin\"]", "$.admin_credential"},
    {"secret-of-the-admin", "secret-of-the\\nadmin", "$.admin_credential"},
    {"\"log_format\":\"text\"", "\"log_format\":\"loud\"", "$.log_format"},
    {"\"text\"", "7", "$.log_format"},
    {"\"text\"", "\"text\",\"log_sink\":\"file\"", "$.log_sink"},
    {"\"stop_grace_ms\":1", "\"stop_grace_ms\":600001", "$.stop_grace_ms"},
    {"\"stop_grace_ms\":1", "\"stop_grace_ms\":-1", "$.stop_grace_ms"},
};

// Guards against a daemon that starts with invalid settings, and against secrets in error messages
// and logs.
TEST(config_error, names_the_path_in_invalid_settings_but_no_secret)
{
    EXPECT_EQ(error_of([&] { return read_settings(valid_settings, "f"); }).path, "no error");
    for (const invalid_document& invalid : invalid_settings)
    {
        const std::string text = replaced(valid_settings, invalid.from, invalid.to);
        const auto error = error_of([&] { return read_settings(text, "f"); });
        EXPECT_EQ(error.path, invalid.path) << invalid.to;
        EXPECT_EQ(core::to_string(error).find("secret-of"), std::string::npos) << invalid.to;
    }
}

// Guards against a key that appears in a log because an operator wrote it in place of its digest.
TEST(config_error, shows_no_key_that_was_written_in_place_of_its_digest)
{
    const std::string text = replaced(valid_configuration, "KEY", "the-key-itself");
    const auto error = error_of([&] { return read_configuration(text, "f"); });
    EXPECT_EQ(error.path, "$.accounts[0].keys[0]");
    EXPECT_EQ(core::to_string(error).find("the-key"), std::string::npos);
}

// Guards against documents that are too large for the platform to store or a peer to send.
TEST(config_error, rejects_a_document_above_the_size_limit)
{
    const std::string valid = configuration_text();
    const std::string padding(max_document_bytes - valid.size(), ' ');
    EXPECT_EQ(error_of([&] { return read_configuration(valid + padding, "f"); }).path, "no error");
    EXPECT_EQ(error_of([&] { return read_configuration(valid + padding + " ", "f"); }).path, "$");
}

// Guards against a document within the size limit whose canonical text is above it, because that
// includes defaults. Peers send the canonical text to each other.
TEST(config_error, rejects_a_document_whose_canonical_text_is_above_the_size_limit)
{
    std::string services;
    while (services.size() + configuration_text().size() < max_document_bytes - 100)
    {
        services += R"({"name":"t)" + std::to_string(services.size()) + R"(","servers":[]},)";
    }
    const std::string text =
        replaced(configuration_text(), "\"services\":[", "\"services\":[" + services);
    ASSERT_LE(text.size(), max_document_bytes);
    EXPECT_EQ(error_of([&] { return read_configuration(text, "f"); }).path, "$");
    // All servers of this document are on one line. The canonical text has a line for each server,
    // whose line ends make it too large.
    std::string servers;
    std::size_t count = 0;
    const std::string compact = replaced(configuration_text(), "\"servers\":[", "\"servers\":[@");
    while (compact.size() + servers.size() < max_document_bytes - 2500)
    {
        const std::string number = std::to_string(count++);
        servers += R"({"name":"t)" + number + R"(","data_centre":"dc","address":"10.0.)" +
                   std::to_string(count / 250) + "." + std::to_string(count % 250) + R"(:1"},)";
    }
    ASSERT_LE(compact.size() + servers.size(), max_document_bytes);
    EXPECT_EQ(
        error_of([&] { return read_configuration(replaced(compact, "@", servers), "f"); }).path,
        "$");
}

// Guards against a stack overflow of the parser on deeply nested arrays.
TEST(config_error, rejects_deep_nesting)
{
    EXPECT_EQ(error_of([] { return read_configuration(std::string(100000, '['), "f"); }).path, "$");
}

std::string mutated(std::string text, core::random_generator& random)
{
    static constexpr std::string_view inserted_characters = "{}[]\",:0-9e.\\/*tfn\x01\xFF ";
    const std::size_t changes = 1 + random() % 3;
    for (std::size_t i = 0; i < changes; ++i)
    {
        const std::size_t at = core::uniform_index(random, text.size());
        const std::size_t length = std::min<std::size_t>(random() % 20, text.size() - at);
        const char character =
            inserted_characters[core::uniform_index(random, inserted_characters.size())];
        switch (random() % 4)
        {
        case 0:
            text[at] = character;
            break;
        case 1:
            text.insert(at, 1, character);
            break;
        case 2:
            text.erase(at, std::min(length, text.size() - 1));
            break;
        default:
            text.insert(core::uniform_index(random, text.size()), text.substr(at, length));
        }
    }
    return text;
}

// Guards against crashes, errors without a path, and accepted documents that change when they are
// printed and read again. With sanitizers, reads out of bounds fail the test too.
TEST(config_error, mutated_documents_are_rejected_or_survive_printing)
{
    core::random_generator random(20250);
    int accepted = 0;
    for (int round = 0; round < 4000; ++round)
    {
        const std::string text = mutated(configuration_text(), random);
        const auto error = error_of(
            [&]() -> core::result<void>
            {
                BOOST_LEAF_AUTO(config, read_configuration(text, "f"));
                EXPECT_EQ(read_configuration(canonical_text(config), "f").value(), config) << text;
                ++accepted;
                return {};
            });
        EXPECT_TRUE(error.path == "no error" || error.path.starts_with("$")) << text;
        const auto settings_error =
            error_of([&] { return read_settings(mutated(valid_settings, random), "f"); });
        EXPECT_TRUE(settings_error.path == "no error" || settings_error.path.starts_with("$"));
    }
    EXPECT_GT(accepted, 0);
    EXPECT_LT(accepted, 4000);
}

// Guards against a builder that accepts numbers that JSON cannot represent, short keys, or
// durations that printing would round.
TEST(config_error, the_builder_names_the_path_in_an_invalid_deployment)
{
    const auto path_of = [](const deployment& options)
    {
        return error_of([&] { return build(options); }).path;
    };
    const account_options valid{
        .name = "a", .keys = {"a-key-of-good-length"}, .rate = 1, .burst = 2};
    EXPECT_EQ(path_of({.accounts = {valid}}), "no error");
    account_options invalid = valid;
    invalid.keys = {"short"};
    EXPECT_EQ(path_of({.accounts = {invalid}}), "$.accounts[0].keys[0]");
    invalid = valid;
    invalid.rate = std::numeric_limits<double>::quiet_NaN();
    EXPECT_EQ(path_of({.accounts = {invalid}}), "$.accounts[0].rate");
    invalid.rate = 0;
    EXPECT_EQ(path_of({.accounts = {valid, invalid}}), "$.accounts[1].name");
    deployment fractional_duration{.regions = {{.name = "r"}}, .services = {{.name = "s"}}};
    fractional_duration.services[0].warmup = std::chrono::microseconds(1'000'500);
    EXPECT_EQ(path_of(fractional_duration), "$");
    EXPECT_EQ(path_of({.regions = {{.name = "r", .weight = HUGE_VAL}}}), "$.regions[0].weight");
}

} // namespace
} // namespace zinniaferry::config
