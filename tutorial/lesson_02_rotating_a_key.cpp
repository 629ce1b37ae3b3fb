// Lesson 2: rotating the key of an account.
//
// If a key is withdrawn while callers still use it, their requests are refused. A rotation
// therefore takes two new versions of the configuration: the first accepts both keys, and the
// second withdraws the old one once all callers use the new one. This lesson builds the initial
// version and these two, and prints what each step changes.
#include "config/builder.hpp"
#include "config/diff.hpp"

#include <cstdio>

using namespace zinniaferry;

namespace
{

config::deployment deployment_with_keys(std::uint64_t version, std::vector<std::string> keys)
{
    return {
        .version = version,
        .regions = {{.name = "lanka"}},
        .data_centres = {{.name = "kandy-1", .region = "lanka"}},
        .accounts = {{.name = "mask-carvers", .keys = std::move(keys), .rate = 20, .burst = 60}},
        .services = {{.name = "patterns",
                      .servers = config::make_servers({.name = "patterns",
                                                       .count = 2,
                                                       .data_centres = {"kandy-1"},
                                                       .first_port = 9001})}},
        .routes = {{.prefix = "/patterns", .service = "patterns"}}};
}

core::result<void> print_changes(const config::deployment& from, const config::deployment& to)
{
    // `build` returns the checked configuration, or an error with the JSON path of the invalid
    // value.
    BOOST_LEAF_AUTO(before, config::build(from));
    BOOST_LEAF_AUTO(after, config::build(to));
    std::printf("// From version %llu to %llu:\n", static_cast<unsigned long long>(before.version),
                static_cast<unsigned long long>(after.version));
    for (const config::change& change : config::diff(before, after))
    {
        std::printf("//   %s\n", config::to_string(change).c_str());
    }
    return {};
}

} // namespace

int main()
{
    const config::deployment first = deployment_with_keys(1, {"mask-carvers-key-2025"});
    const config::deployment both =
        deployment_with_keys(2, {"mask-carvers-key-2025", "mask-carvers-key-2026"});
    const config::deployment last = deployment_with_keys(3, {"mask-carvers-key-2026"});

    // Changes show only the first digits of a key's digest, so the lines may be kept in a ticket.
    const bool succeeded = boost::leaf::try_handle_all(
        [&]() -> core::result<bool>
        {
            BOOST_LEAF_CHECK(print_changes(first, both));
            BOOST_LEAF_CHECK(print_changes(both, last));
            return true;
        },
        [](const core::document_error& error)
        {
            std::fprintf(stderr, "%s\n", core::to_string(error).c_str());
            return false;
        },
        [] { return false; });

    // Every VM refuses the withdrawn key within seconds, also on open connections.
    return succeeded ? config::print_deployment(last) : 2;
}
