#include "app/text.h"

#include <algorithm>
#include <stdexcept>

namespace monsoonledge {

namespace {

/// Number of characters of UTF-8 text.
std::size_t displayWidth(const std::string &text)
{
    return static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](char c) {
        return (static_cast<unsigned char>(c) & 0xc0) != 0x80;
    }));
}

} // namespace

Json parseResponseBody(const std::string &body)
{
    Json value = Json::parse(body, nullptr, false);
    if (!value.is_object())
        throw std::runtime_error("the response is no JSON object: check that --entry is the "
                                 "address of an entry process");
    return value;
}

std::string formatCell(const Json &value)
{
    std::string text;
    if (value.is_string()) {
        text = value.get<std::string>();
    } else if (value.is_boolean()) {
        text = value.get<bool>() ? "yes" : "no";
    } else if (value.is_array()) {
        for (const Json &item : value)
            text.append(text.empty() ? "" : ",").append(formatCell(item));
    } else if (!value.is_null()) {
        text = value.dump(-1, ' ', false, Json::error_handler_t::replace);
    }
    std::replace_if(
            text.begin(), text.end(),
            [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; }, '?');
    return text.empty() ? "-" : text;
}

std::string formatTable(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const std::vector<std::string> &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], displayWidth(row[i]));
    }
    std::string text;
    for (const std::vector<std::string> &row : rows) {
        text += ' ';
        for (std::size_t i = 0; i < row.size(); ++i) {
            text.append(" ").append(row[i]);
            // The last column has no padding, which would leave spaces at the end of the line.
            if (i + 1 < row.size())
                text.append(widths[i] - displayWidth(row[i]) + 1, ' ');
        }
        text += '\n';
    }
    return text;
}

std::string formatObjects(const Json &list)
{
    std::vector<std::string> header;
    for (const Json &object : list) {
        if (!object.is_object())
            return "  " + formatCell(list) + '\n';
        for (const auto &item : object.items()) {
            if (std::find(header.begin(), header.end(), item.key()) == header.end())
                header.push_back(item.key());
        }
    }
    std::vector<std::vector<std::string>> rows{header};
    for (const Json &object : list) {
        std::vector<std::string> row;
        row.reserve(header.size());
        for (const std::string &key : header)
            row.push_back(object.contains(key) ? formatCell(object[key]) : "-");
        rows.push_back(row);
    }
    return formatTable(rows);
}

} // namespace monsoonledge
