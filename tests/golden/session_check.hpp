#pragma once

#include "golden/promises.hpp"
#include "golden/story.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace acaciastile::golden
{

/// Every promise has to hold in the session, and its bytes have to be those
/// of the golden file.
void check(const std::string& name, const transcript& played);

/// Starts instances `a`, `b`, ... and sets the cell up; with several data
/// centres they are spread over them in turn.
void start_some(
    story& cell, std::size_t instances = 3, std::size_t data_centres = 1);

/// The answers to a call, in order, as `ok` or the code of the refusal.
[[nodiscard]] std::vector<std::string>
answers_to(const transcript& played, const std::string& id);

/// How often tasks of a job were started.
[[nodiscard]] std::size_t
starts_of(const transcript& played, const std::string& id);

/// How often tasks of a job ended in that way.
[[nodiscard]] std::size_t
ends_of(const transcript& played, const std::string& id, run_event how);

/// True where a line of the transcript holds the text.
[[nodiscard]] bool has_line(const transcript& played, const std::string& text);

using words = std::vector<std::string>;

} // namespace acaciastile::golden
