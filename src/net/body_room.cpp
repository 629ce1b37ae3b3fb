#include "net/body_room.hpp"

#include "net/await_error.hpp"

#include <boost/asio/steady_timer.hpp>

#include <utility>

#include <malloc.h>

namespace zinniaferry::net
{

namespace
{

constexpr core::duration room_poll_interval = std::chrono::milliseconds(10);
/// Blocks from this size on, in bytes, are returned at once. Below the size of bodies that matter
/// beside the memory of a process.
constexpr int large_block_bytes = 256 * 1024;

void close_slowest(body_room& room, std::uint64_t bytes, core::time_point now)
{
    const auto slowest = limits::slowest_transfer(room.budget, bytes, now);
    if (!slowest)
    {
        return;
    }
    ++room.closed;
    limits::end_transfer(room.budget, *slowest);
    const auto closer = room.closers.extract(*slowest);
    if (!closer.empty())
    {
        closer.mapped()();
    }
}

} // namespace

body_room::body_room(boost::asio::io_context& io_context, std::uint64_t memory_bytes)
    : io(io_context), budget{.options = limits::make_body_budget_options(memory_bytes)}
{
}

held_body::held_body(std::shared_ptr<body_room> room)
    : room_(std::move(room)), id_(limits::add_body(room_->budget))
{
}

held_body::held_body(held_body&& other) noexcept
    : room_(std::exchange(other.room_, nullptr)), id_(other.id_), header_bytes_(other.header_bytes_)
{
}

held_body& held_body::operator=(held_body&& other) noexcept
{
    if (this != &other)
    {
        release();
        room_ = std::exchange(other.room_, nullptr);
        id_ = other.id_;
        header_bytes_ = other.header_bytes_;
    }
    return *this;
}

held_body::~held_body()
{
    release();
}

void held_body::release()
{
    if (room_)
    {
        room_->closers.erase(id_);
        limits::release(room_->budget, id_);
        room_.reset();
    }
}

boost::asio::awaitable<bool> held_body::wait_for_room(std::uint64_t bytes, core::time_point until)
{
    return wait_for_total(header_bytes_ + bytes, until);
}

boost::asio::awaitable<bool> held_body::wait_for_header_room(std::uint64_t bytes,
                                                             core::time_point until)
{
    if (!room_)
    {
        co_return true;
    }
    const std::uint64_t body_bytes = room_->budget.entries.at(id_).reserved - header_bytes_;
    const bool has_room = co_await wait_for_total(body_bytes + bytes, until);
    header_bytes_ = has_room ? bytes : header_bytes_;
    co_return has_room;
}

boost::asio::awaitable<bool> held_body::wait_for_total(std::uint64_t bytes, core::time_point until)
{
    if (!room_)
    {
        co_return true;
    }
    limits::reservation result = limits::reserve(room_->budget, id_, bytes);
    if (result == limits::reservation::granted)
    {
        co_return true;
    }
    limits::end_transfer(room_->budget, id_);
    boost::asio::steady_timer timer(room_->io);
    core::time_point now = core::boot_clock_now();
    while (result == limits::reservation::wait && now < until)
    {
        close_slowest(*room_, bytes, now);
        timer.expires_after(std::min(room_poll_interval, until - now));
        boost::system::error_code ignored;
        co_await timer.async_wait(redirect_error_to(ignored));
        now = core::boot_clock_now();
        result = limits::reserve(room_->budget, id_, bytes);
    }
    const bool is_granted = result == limits::reservation::granted;
    room_->refused += is_granted ? 0 : 1;
    if (is_granted && room_->closers.contains(id_))
    {
        // The time that the body has waited is not its caller's.
        const limits::body_entry entry = room_->budget.entries.at(id_);
        limits::begin_transfer(room_->budget, id_, entry.expected, now, entry.complete_by);
    }
    co_return is_granted;
}

void held_body::begin_transfer(std::uint64_t expected, core::time_point complete_by,
                               std::function<void()> close)
{
    if (room_)
    {
        limits::begin_transfer(room_->budget, id_, expected, core::boot_clock_now(), complete_by);
        room_->closers[id_] = std::move(close);
    }
}

void held_body::on_progress(std::uint64_t transferred)
{
    if (room_)
    {
        limits::on_progress(room_->budget, id_, transferred, core::boot_clock_now());
    }
}

void held_body::end_transfer()
{
    if (room_)
    {
        limits::end_transfer(room_->budget, id_);
        room_->closers.erase(id_);
    }
}

void return_large_blocks_to_system()
{
    ::mallopt(M_MMAP_THRESHOLD, large_block_bytes);
}

} // namespace zinniaferry::net
