// Reads YAML documents and collects all errors in them as findings with line and column.
//
// Sections:
//   [1] Nodes
//   [2] Findings and names
//   [3] Reader of maps
#pragma once

#include "base/base.h"

#include <cstdint>
#include <string>
#include <vector>

namespace monsoonledge {

// [1] Nodes

struct YamlEntry;

/// A value or key of a document. Line and column locate it in findings.
struct YamlNode
{
    enum class Kind { Null, Scalar, List, Map };

    Kind kind = Kind::Null;
    int line = 0; // counts from 1; 0: unknown
    int column = 0; // counts from 1; 0: unknown
    std::string scalar; // text of a Scalar
    bool quoted = false; // a quoted Scalar is a string, never a number or a boolean
    std::vector<YamlNode> items; // elements of a List
    std::vector<YamlEntry> entries; // pairs of a Map in file order, including repeated keys
};

/// A key of a map and its value.
struct YamlEntry
{
    YamlNode key;
    YamlNode value;
};

/// Parses one document. An empty text gives a Null node. `file` appears in findings. Throws
/// FindingsError with a single finding at the first syntax error, second document, alias or tag.
/// Aliases are rejected because they let a short text expand to a huge document.
YamlNode parseYaml(const std::string &text, const std::string &file);

/// Returns the content of a file. Throws FindingsError if the file cannot be read or has more than
/// `maxBytes` bytes.
std::string readTextFile(const std::string &path, std::size_t maxBytes);

// [2] Findings and names

/// Collects the findings of one document.
class YamlFindings
{
public:
    explicit YamlFindings(std::string file) : file_(std::move(file)) { }

    /// Adds a finding at the position of the node.
    void add(const YamlNode &node, const std::string &message);
    /// Throws FindingsError with all findings, ordered by line and column, if there are any.
    void throwIfAny();

private:
    std::string file_;
    Findings findings_;
};

/// Returns whether the text is a valid name: 1 to `maxLength` ASCII letters, digits, '-', '_' and
/// '.', beginning with a letter or digit. The characters are restricted because names appear in
/// URLs, in store keys and before the '~' of request ids.
bool isValidName(const std::string &text, std::size_t maxLength);

constexpr std::size_t MaxNameLength = 64;

/// Returns the name that a list item or a value holds. If it is not a valid name, adds a finding
/// that begins with `subject`, the description of the node, and returns an empty string.
std::string readName(const YamlNode &node, const std::string &subject, YamlFindings &findings,
                     std::size_t maxLength = MaxNameLength);

// [3] Reader of maps

/// Reads the values of one map by key. The read functions return false and leave `value` unchanged
/// if the key is absent or its value is invalid. Invalid values are added to the findings.
class YamlMapReader
{
public:
    /// Adds findings for a node that is not a map, keys that are not scalars, and repeated keys.
    /// `pathPrefix`, such as "timing.", is put before the keys in messages. The node and the
    /// findings must outlive the reader.
    YamlMapReader(const YamlNode &node, std::string pathPrefix, YamlFindings &findings);

    /// Adds a finding for each of the keys that is absent.
    void requireKeys(const std::vector<std::string> &keys);
    /// Adds a finding for each key of the map that was never looked up. To be called after all
    /// reads.
    void reportUnknownKeys();

    /// Returns the value of the key, or the map if the key is absent. Findings about the key are
    /// placed there.
    const YamlNode &valueOrMap(const std::string &key) const;
    /// Returns null if the key is absent or its value is empty; an empty value is also a finding.
    const YamlNode *find(const std::string &key);
    /// Returns null if the key is absent or its value is not a list.
    const std::vector<YamlNode> *findList(const std::string &key);

    /// Reads any scalar, also a number or boolean, as the text that the document holds.
    bool readString(const std::string &key, std::string &value);
    bool readName(const std::string &key, std::string &value,
                  std::size_t maxLength = MaxNameLength);
    bool readBool(const std::string &key, bool &value);
    bool readInteger(const std::string &key, std::int64_t &value, std::int64_t min,
                     std::int64_t max);
    bool readInteger(const std::string &key, int &value, int min, int max);
    bool readNumber(const std::string &key, double &value, double min, double max);
    /// Reads a whole number of milliseconds.
    bool readMilliseconds(const std::string &key, Duration &value, Duration min, Duration max);

    /// Adds a finding at the value of the key, or at the map if the key is absent.
    void report(const std::string &key, const std::string &message);

private:
    std::string quotedKeyPath(const std::string &key) const;
    const YamlNode *findScalar(const std::string &key, const std::string &expected);
    void reportValue(const std::string &key, const YamlNode &node, const std::string &expected);

    const YamlNode &node_;
    std::string pathPrefix_;
    YamlFindings &findings_;
    std::vector<std::string> knownKeys_; // keys that were looked up
};

/// Formats a number as YAML text with at most 10 significant digits and no trailing zeros.
std::string formatNumber(double value);

} // namespace monsoonledge
