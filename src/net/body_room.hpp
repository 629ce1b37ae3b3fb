/// The body budget of a process as its connections use it: waiting for room, and closing the
/// callers that lose their place.
#pragma once

#include "limits/body_budget.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <unordered_map>

namespace zinniaferry::net
{

/// Thread safety: the io_context's thread only; this holds for all of this header.
struct body_room
{
    /// Precondition: `io_context` outlives the waits, but not necessarily the room.
    body_room(boost::asio::io_context& io_context, std::uint64_t memory_bytes);

    boost::asio::io_context& io;
    limits::body_budget budget;
    /// Close the connection of the caller that sends or reads the body.
    std::unordered_map<limits::body_id, std::function<void()>> closers;
    std::uint64_t refused = 0; ///< Bodies without room, since the start.
    std::uint64_t closed = 0;  ///< Slow bodies whose caller was closed, since the start.
};

/// The part of a room that one body takes, with a header that is counted; it is released on
/// destruction.
class held_body
{
public:
    held_body() = default; ///< Takes nothing.
    explicit held_body(std::shared_ptr<body_room> room);
    held_body(held_body&& other) noexcept;
    held_body& operator=(held_body&& other) noexcept;
    ~held_body();

    /// Waits until there is room for a body of `bytes`, at the latest until `until`; callers whose
    /// bodies are slow are closed. Returns whether the room is reserved. The body is not in
    /// transfer meanwhile. Precondition: the object outlives the wait.
    boost::asio::awaitable<bool> wait_for_room(std::uint64_t bytes, core::time_point until);

    /// The same for a header of `bytes` in memory, whose room is kept beside that of the body.
    boost::asio::awaitable<bool> wait_for_header_room(std::uint64_t bytes, core::time_point until);

    /// Records the transfer of the body from or to a caller, which `close` closes. An `expected`
    /// of 0 bytes is not known.
    void begin_transfer(std::uint64_t expected, core::time_point complete_by,
                        std::function<void()> close);
    void on_progress(std::uint64_t transferred);
    void end_transfer();

    /// Returns whether the body counts in a room.
    bool counts() const { return room_ != nullptr; }

private:
    boost::asio::awaitable<bool> wait_for_total(std::uint64_t bytes, core::time_point until);
    void release();

    std::shared_ptr<body_room> room_;
    limits::body_id id_ = 0;
    std::uint64_t header_bytes_ = 0; ///< Of the room, for the header.
};

/// Makes the allocator return each large block to the system when it is freed. Otherwise it keeps
/// freed bodies, which count as memory of the process.
void return_large_blocks_to_system();

} // namespace zinniaferry::net
