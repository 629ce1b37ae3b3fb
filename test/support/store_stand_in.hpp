/// A loopback stand-in for the operators' metadata store (a key-value store with watches) that
/// implements its published protocol.
#pragma once

#include "net/await_error.hpp"
#include "stand_in/http_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace zinniaferry::test_support
{

/// Must be used only from the thread that runs the io_context.
class store_stand_in
{
public:
    explicit store_stand_in(boost::asio::io_context& io)
        : io_(io), acceptor_(io, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
        boost::asio::co_spawn(io_,
                              stand_in::serve(
                                  acceptor_,
                                  [this](stand_in::http_request request)
                                  { return handle(std::move(request)); },
                                  connections_),
                              boost::asio::detached);
    }

    /// Closes the listener and resets all connections. Must be called, and the context run
    /// briefly, before the object is destroyed.
    void stop()
    {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        stand_in::reset_connections(connections_);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    void write(const std::string& key, const std::string& value)
    {
        items_[key] = {value, ++revision_};
        events_.push_back({revision_, key, value});
    }

    void remove(const std::string& key)
    {
        items_.erase(key);
        events_.push_back({++revision_, key, std::nullopt});
    }

    /// What a backup of the store holds.
    struct backup
    {
        std::map<std::string, std::pair<std::string, std::uint64_t>> items; ///< Values, revisions.
        std::uint64_t revision = 0;
    };

    backup back_up() const
    {
        backup out = {.revision = revision_};
        for (const auto& [key, entry] : items_)
        {
            out.items[key] = {entry.value, entry.revision};
        }
        return out;
    }

    /// Replaces the content by the backup's and cuts all connections. Revisions since the backup
    /// are assigned again.
    void restore(const backup& from)
    {
        items_.clear();
        for (const auto& [key, entry] : from.items)
        {
            items_[key] = {entry.first, entry.second};
        }
        std::erase_if(events_, [&](const event& entry) { return entry.revision > from.revision; });
        revision_ = from.revision;
        ++era_;
        stand_in::reset_connections(connections_);
    }

    std::uint64_t revision() const { return revision_; }

    /// Discards the change history: watches after an older revision get status 410.
    void compact() { oldest_watch_revision_ = revision_; }

    std::optional<unsigned> forced_status; ///< Status of every response, if set.
    std::size_t max_items_per_page = 500;  ///< Of a range response.
    std::size_t call_count = 0;            ///< Range and watch requests received.

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
    };
    struct event
    {
        std::uint64_t revision = 0;
        std::string key;
        std::optional<std::string> value; ///< Empty for a removal.
    };

    static std::string encode(const std::string& bytes)
    {
        namespace base64 = boost::beast::detail::base64;
        std::string out(base64::encoded_size(bytes.size()), '\0');
        out.resize(base64::encode(out.data(), bytes.data(), bytes.size()));
        return out;
    }

    boost::asio::awaitable<stand_in::http_response> handle(stand_in::http_request request)
    {
        stand_in::http_response out = co_await answer(std::move(request));
        out.headers.emplace_back("Store-Era", std::to_string(era_));
        co_return out;
    }

    boost::asio::awaitable<stand_in::http_response> answer(stand_in::http_request request)
    {
        ++call_count;
        if (forced_status)
        {
            co_return stand_in::json_response(*forced_status, "{}");
        }
        if (request.path == "/-/kv-range")
        {
            co_return range(stand_in::find_value(request.query, "after"));
        }
        const auto after =
            static_cast<std::uint64_t>(stand_in::find_number(request.query, "after").value_or(0.0));
        const auto wait = std::chrono::milliseconds(
            static_cast<int>(stand_in::find_number(request.query, "wait-ms").value_or(0.0)));
        const auto deadline = std::chrono::steady_clock::now() + wait;
        boost::asio::steady_timer timer(io_);
        while (after >= oldest_watch_revision_ && revision_ == after &&
               std::chrono::steady_clock::now() < deadline)
        {
            timer.expires_after(std::chrono::milliseconds(1));
            boost::system::error_code ignored;
            co_await timer.async_wait(net::redirect_error_to(ignored));
        }
        const bool is_known = after >= oldest_watch_revision_ && after <= revision_;
        co_return is_known ? changes(after) : stand_in::json_response(410, "{}");
    }

    stand_in::http_response range(const std::string& after) const
    {
        boost::json::array items;
        auto next = items_.upper_bound(after);
        for (; next != items_.end() && items.size() < max_items_per_page; ++next)
        {
            items.push_back({{"key", next->first},
                             {"value", encode(next->second.value)},
                             {"rev", next->second.revision}});
        }
        const boost::json::object out = {{"items", std::move(items)},
                                         {"has-more", next != items_.end()},
                                         {"current-rev", revision_}};
        return stand_in::json_response(200, boost::json::serialize(out));
    }

    stand_in::http_response changes(std::uint64_t after) const
    {
        boost::json::array events;
        for (const event& entry : events_)
        {
            if (entry.revision <= after)
            {
                continue;
            }
            boost::json::object change = {{"key", entry.key}, {"rev", entry.revision}};
            if (entry.value)
            {
                change["value"] = encode(*entry.value);
            }
            else
            {
                change["removed"] = true;
            }
            events.push_back(std::move(change));
        }
        const boost::json::object out = {{"events", std::move(events)}, {"current-rev", revision_}};
        return stand_in::json_response(200, boost::json::serialize(out));
    }

    boost::asio::io_context& io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    stand_in::connection_set connections_;
    std::map<std::string, item> items_;
    std::vector<event> events_;
    std::uint64_t revision_ = 10;
    std::uint64_t era_ = 1;
    std::uint64_t oldest_watch_revision_ = 0;
};

} // namespace zinniaferry::test_support
