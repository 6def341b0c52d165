// Reading of YAML documents whose faults are collected as findings with their place.
//
// Sections:
//   [1] Nodes
//   [2] Findings of one document
//   [3] Maps
#pragma once

#include "base/base.h"

#include <cstdint>
#include <string>
#include <vector>

namespace monsoonledge {

// [1] Nodes

struct YamlEntry;

/// One value of a document.
struct YamlNode
{
    enum class Kind { Null, Scalar, List, Map };

    Kind kind = Kind::Null;
    int line = 0; // counts from 1; 0: unknown
    int column = 0;
    std::string scalar; // text of a scalar
    bool quoted = false; // a quoted scalar is text, never a number or a boolean
    std::vector<YamlNode> items; // of a list
    std::vector<YamlEntry> entries; // of a map, in file order, repeated keys included
};

struct YamlEntry
{
    YamlNode key;
    YamlNode value;
};

/// Parses one document. An empty text is a Null node. Throws FindingsError with a single finding
/// for a syntax error, a second document, an alias or a tag. Aliases are refused because a short
/// text can expand to a huge one with them.
YamlNode parseYaml(const std::string &text, const std::string &file);

/// The text of a file. Throws FindingsError if it cannot be read or has more than `maxBytes`.
std::string readDocument(const std::string &path, std::size_t maxBytes);

// [2] Findings of one document

class YamlFindings
{
public:
    explicit YamlFindings(std::string file) : file_(std::move(file)) { }

    void add(const YamlNode &node, const std::string &message);
    /// Throws FindingsError, ordered by line and column, if anything was added.
    void throwIfAny();

private:
    std::string file_;
    Findings findings_;
};

/// True if the text is a valid name: 1 to `maxLength` letters, digits, '-', '_' and '.', the first
/// one a letter or digit. Names appear in URLs, in store keys and before the '~' of request ids.
bool isValidName(const std::string &text, std::size_t maxLength);

constexpr std::size_t MaxNameLength = 64;

/// Reads a list item or a value that is a name. Reports it and returns an empty text if it is none.
std::string readName(const YamlNode &node, const std::string &what, YamlFindings &findings,
                     std::size_t maxLength = MaxNameLength);

// [3] Maps

/// Reads the keys of one map. Every read leaves the value as it is and returns false if the key is
/// absent or its value is wrong; a wrong value is reported.
class YamlMap
{
public:
    /// Reports a node that is not a map, keys that are not text, and repeated keys. `path` stands
    /// before the keys in messages, such as "timing.". The node must outlive the reader.
    YamlMap(const YamlNode &node, std::string path, YamlFindings &findings);

    /// Reports each of the keys that is absent.
    void require(const std::vector<std::string> &keys);
    /// Reports the keys that were not read. Call it after all reads.
    void reportUnknown();

    /// The place of the key's value, or of the map if the key is absent.
    const YamlNode &at(const std::string &key) const;
    /// Null if the key is absent or has no value, which is reported.
    const YamlNode *find(const std::string &key);
    /// Null if the key is absent or no list.
    const std::vector<YamlNode> *findList(const std::string &key);

    bool readText(const std::string &key, std::string &value);
    bool readName(const std::string &key, std::string &value,
                  std::size_t maxLength = MaxNameLength);
    bool readBool(const std::string &key, bool &value);
    bool readInteger(const std::string &key, std::int64_t &value, std::int64_t min,
                     std::int64_t max);
    bool readInteger(const std::string &key, int &value, int min, int max);
    bool readNumber(const std::string &key, double &value, double min, double max);
    /// A whole number of milliseconds.
    bool readMilliseconds(const std::string &key, Duration &value, Duration min, Duration max);

    /// Adds a finding at the key's value.
    void report(const std::string &key, const std::string &message);

private:
    std::string quoteKey(const std::string &key) const;
    const YamlNode *findScalar(const std::string &key, const std::string &expected);
    void reportValue(const std::string &key, const YamlNode &node, const std::string &expected);

    const YamlNode &node_;
    std::string path_;
    YamlFindings &findings_;
    std::vector<std::string> known_;
};

/// A number without trailing zeros, as it is written in YAML.
std::string formatNumber(double value);

} // namespace monsoonledge
