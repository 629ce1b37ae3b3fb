/// The store stand-in with a writer for each entry: it may be away for a time and come back from a
/// backup, after which the writers write again what was lost.
#pragma once

#include "core/random.hpp"
#include "core/time.hpp"
#include "test/support/store_stand_in.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <set>

namespace zinniaferry::test_support
{

/// Interval at which backend servers refresh their entries.
inline constexpr core::duration heartbeat_interval = std::chrono::milliseconds(1500);

/// Must be used only from the thread that runs the io_context.
class restorable_store
{
public:
    /// Precondition: both outlive the store.
    restorable_store(boost::asio::io_context& io, core::random_generator& random)
        : io_(io), random_(random), store_(io)
    {
        take_backups();
    }

    void stop()
    {
        is_over_ = true;
        store_.stop();
    }

    std::string address() const { return store_.address(); }
    std::size_t calls() const { return store_.call_count; }
    std::size_t restorations() const { return restorations_; }
    bool is_up() const { return !store_.forced_status; }

    /// Writes what `value` returns, a removal for nothing, now or as soon as the store is up.
    void write(const std::string& key, const std::function<std::optional<std::string>()>& value)
    {
        if (!is_up())
        {
            after(operator_retry_delay, [this, key, value] { write(key, value); });
            return;
        }
        const auto text = value();
        if (text)
        {
            store_.write(key, *text);
            written_[key] = *text;
        }
        else
        {
            store_.remove(key);
            written_.erase(key);
        }
        written_since_restoration_.insert(key);
    }

    /// Answers with refusals for a time, and comes back from a backup if `is_restored`.
    /// Precondition: it is up.
    void interrupt(core::duration time, bool is_restored)
    {
        store_.forced_status = 503;
        after(time,
              [this, is_restored]
              {
                  store_.forced_status.reset();
                  if (is_restored)
                  {
                      restore();
                  }
              });
    }

private:
    static constexpr core::duration operator_retry_delay = std::chrono::milliseconds(100);
    /// After a restoration the operator writes again this much later.
    static constexpr core::duration operator_delay = std::chrono::milliseconds(50);
    static constexpr core::duration entry_lifetime = 3 * heartbeat_interval;
    static constexpr core::duration backup_interval = std::chrono::milliseconds(400);
    static constexpr std::size_t max_backups = 15;

    void after(core::duration delay, const std::function<void()>& action)
    {
        const auto timer = std::make_shared<boost::asio::steady_timer>(io_, delay);
        timer->async_wait(
            [this, timer, action](const boost::system::error_code&)
            {
                if (!is_over_)
                {
                    action();
                }
            });
    }

    void take_backups()
    {
        if (is_up())
        {
            backups_.push_back(store_.back_up());
        }
        if (backups_.size() > max_backups)
        {
            backups_.pop_front();
        }
        after(backup_interval, [this] { take_backups(); });
    }

    void restore()
    {
        const auto backup = backups_[core::uniform_index(random_, backups_.size())];
        // A later backup holds what is lost now.
        std::erase_if(backups_,
                      [&](const auto& entry) { return entry.revision > backup.revision; });
        store_.restore(backup);
        ++restorations_;
        written_since_restoration_.clear();
        for (const auto& [key, value] : written_)
        {
            const auto kept = backup.items.find(key);
            if (kept == backup.items.end() || kept->second.first != value)
            {
                write_again(key, value);
            }
        }
        for (const auto& [key, item] : backup.items)
        {
            if (!written_.contains(key))
            {
                write_again(key, std::nullopt);
            }
        }
    }

    // The operator writes at once, a server with its next heartbeat; the entry of one that has left
    // expires.
    void write_again(const std::string& key, const std::optional<std::string>& value)
    {
        const core::duration heartbeat =
            core::from_seconds(core::to_seconds(heartbeat_interval) * core::uniform(random_));
        const core::duration server_delay = value ? heartbeat : entry_lifetime;
        const std::size_t restoration = restorations_;
        after(key.starts_with("servers/") ? server_delay : operator_delay,
              [this, key, value, restoration]
              {
                  if (restoration == restorations_ && !written_since_restoration_.contains(key))
                  {
                      write(key, [value] { return value; });
                  }
              });
    }

    boost::asio::io_context& io_;
    core::random_generator& random_;
    store_stand_in store_;
    std::deque<store_stand_in::backup> backups_;
    std::map<std::string, std::string> written_;      ///< By key: what its writer has written last.
    std::set<std::string> written_since_restoration_; ///< Keys.
    std::size_t restorations_ = 0;
    bool is_over_ = false;
};

} // namespace zinniaferry::test_support
