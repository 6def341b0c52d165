// Helpers for tests of documents that give findings.
#pragma once

#include "base/base.h"

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>

namespace monsoonledge {

/// The findings of `parse`, one per line without the file name; empty if it throws none.
template<typename Parse> std::string findingsOf(Parse parse)
{
    try {
        parse();
    } catch (const FindingsError &error) {
        std::string text;
        for (const Finding &finding : error.findings())
            text += std::to_string(finding.place.line) + ": " + finding.message + '\n';
        return text;
    }
    return std::string();
}

/// The text with one part replaced. Throws if the part is not there, so that a changed example
/// cannot turn a test into one that checks nothing.
inline std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t position = text.find(from);
    if (position == std::string::npos)
        throw std::logic_error("'" + from + "' is not part of the text");
    return text.replace(position, from.size(), to);
}

inline std::string readSourceFile(const std::string &path)
{
    std::ifstream stream(std::string(MONSOONLEDGE_SOURCE_DIR "/") + path);
    std::stringstream text;
    text << stream.rdbuf();
    if (!stream)
        throw std::runtime_error("cannot read " + path);
    return text.str();
}

} // namespace monsoonledge
