#include "stand_in/answer.hpp"

#include "core/hash.hpp"

#include <boost/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace zinniaferry::stand_in
{

namespace
{

namespace json = boost::json;

std::string checksum(std::string_view path, std::string_view content)
{
    return fmt::format("{:016x}", core::stable_hash(content, core::stable_hash(path)));
}

// Generates content from the path, so that a mix of two responses' parts fails the check. The two
// constants are those of Knuth's MMIX linear congruential generator.
std::string make_content(std::string_view path, std::size_t content_bytes)
{
    std::string content;
    content.reserve(content_bytes + 16);
    std::uint64_t generator_state = core::stable_hash(path);
    while (content.size() < content_bytes)
    {
        content += fmt::format("{:016x}", generator_state);
        generator_state = generator_state * 6364136223846793005ULL + 1442695040888963407ULL;
    }
    return content;
}

const json::string* find_string(const json::object& object, const char* key)
{
    const json::value* value = object.if_contains(key);
    return value == nullptr ? nullptr : value->if_string();
}

} // namespace

std::string make_response_body(std::string_view request_id, std::string_view server,
                               std::string_view path, std::size_t content_bytes)
{
    const std::string content = make_content(path, content_bytes);
    const json::object body{{"id", request_id},
                            {"server", server},
                            {"path", path},
                            {"content", content},
                            {"checksum", checksum(path, content)}};
    return json::serialize(body);
}

body_check check_response_body(std::string_view body, std::string_view path)
{
    json::error_code error;
    const json::value document = json::parse(json::string_view(body.data(), body.size()), error);
    const json::object* object = error ? nullptr : document.if_object();
    if (object == nullptr)
    {
        return body_check::truncated;
    }
    const json::string* stated_path = find_string(*object, "path");
    const json::string* content = find_string(*object, "content");
    const json::string* stated_checksum = find_string(*object, "checksum");
    if (stated_path == nullptr && content == nullptr && stated_checksum == nullptr)
    {
        return body_check::other_json;
    }
    if (stated_path == nullptr || content == nullptr || stated_checksum == nullptr ||
        *stated_checksum != checksum(*stated_path, *content))
    {
        return body_check::truncated;
    }
    return *stated_path == path ? body_check::whole : body_check::crossed;
}

std::string find_answering_server(std::string_view body)
{
    json::error_code error;
    const json::value document = json::parse(json::string_view(body.data(), body.size()), error);
    const json::object* object = error ? nullptr : document.if_object();
    const json::string* server = object == nullptr ? nullptr : find_string(*object, "server");
    return server == nullptr ? std::string() : std::string(*server);
}

} // namespace zinniaferry::stand_in
