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

// Content that depends on the path, so that parts of two answers cannot be exchanged unseen.
std::string make_content(std::string_view path, std::size_t bytes)
{
    std::string content;
    content.reserve(bytes + 16);
    std::uint64_t word = core::stable_hash(path);
    while (content.size() < bytes)
    {
        content += fmt::format("{:016x}", word);
        word = word * 6364136223846793005ULL + 1442695040888963407ULL;
    }
    return content;
}

const json::string* find_string(const json::object& object, const char* key)
{
    const json::value* value = object.if_contains(key);
    return value == nullptr ? nullptr : value->if_string();
}

} // namespace

std::string make_answer(std::string_view request_id, std::string_view server, std::string_view path,
                        std::size_t padding_bytes)
{
    const std::string content = make_content(path, padding_bytes);
    const json::object body{{"id", request_id},
                            {"server", server},
                            {"path", path},
                            {"content", content},
                            {"checksum", checksum(path, content)}};
    return json::serialize(body);
}

answer_check check_answer(std::string_view body, std::string_view path)
{
    json::error_code error;
    const json::value document = json::parse(json::string_view(body.data(), body.size()), error);
    const json::object* object = error ? nullptr : document.if_object();
    if (object == nullptr)
    {
        return answer_check::truncated;
    }
    const json::string* echoed = find_string(*object, "path");
    const json::string* content = find_string(*object, "content");
    const json::string* sum = find_string(*object, "checksum");
    if (echoed == nullptr && content == nullptr && sum == nullptr)
    {
        return answer_check::foreign;
    }
    if (echoed == nullptr || content == nullptr || sum == nullptr ||
        *sum != checksum(*echoed, *content))
    {
        return answer_check::truncated;
    }
    return *echoed == path ? answer_check::whole : answer_check::crossed;
}

} // namespace zinniaferry::stand_in
