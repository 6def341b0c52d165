// Text output of JSON values. Include it only in .cpp files: nlohmann/json.hpp is slow to compile.
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace monsoonledge {

/// Keeps the order in which the entry process wrote the keys.
using Json = nlohmann::ordered_json;

/// Parses the body of a response. Throws std::runtime_error if it is no JSON object.
Json parseResponseBody(const std::string &body);

/// One value on one line: "yes" and "no" for booleans, "-" for nothing, lists with commas. Control
/// characters are replaced, since they could change what the terminal shows.
std::string formatCell(const Json &value);

/// Rows as lines with aligned columns, each line indented by two spaces.
std::string formatTable(const std::vector<std::vector<std::string>> &rows);

/// A list of objects as a table whose header names all their keys.
std::string formatObjects(const Json &list);

} // namespace monsoonledge
