/// Error types. Each kind of failure has a type of its own, which Boost.LEAF transports.
#pragma once

#include <boost/leaf.hpp>

#include <cstdint>
#include <string>

namespace zinniaferry::core
{

/// A value, or an error that the caller handles by its type.
template <class T>
using result = boost::leaf::result<T>;

/// An invalid document (settings, configuration, chart, trace) that the user must correct.
struct document_error
{
    std::string file;     ///< The file's name, or a label for text that is not from a file.
    std::string path;     ///< The JSON path of the value, such as "$.accounts[2].rate".
    std::string value;    ///< The invalid value as written, shortened.
    std::string expected; ///< What is accepted there.
};

/// A file that could not be read or written.
struct file_error
{
    std::string file;
    int error_number = 0; ///< errno after the failed call.
};

/// A message from another daemon that was rejected.
struct peer_message_error
{
    enum class reason
    {
        malformed,
        too_large
    };
    reason why = reason::malformed;
    std::uint64_t size = 0; ///< Of the message, in bytes.
};

/// Returns the error as one line for an operator. Thread safe.
std::string to_string(const document_error& error);
std::string to_string(const file_error& error);
std::string to_string(const peer_message_error& error);

} // namespace zinniaferry::core
